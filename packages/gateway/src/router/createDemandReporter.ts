import { viewReplicas } from '../placing/viewServers.js'

import type { Demand, ModelReplicas } from '@figmount/fleet'
import type { AgentLinks } from '../agents/createAgentLinks.js'
import type { DemandMeter } from '../demand/createDemandMeter.js'
import type { Directory } from '../directory/types.js'

const countsOf = (replicas: readonly ModelReplicas[]): ReadonlyMap<string, number> =>
  new Map(replicas.map(({ modelName, replicaCount }) => [modelName, replicaCount]))

/** The differences between two counts; a model that is missing from the second has at most one replica. */
const changedReplicas = (before: ReadonlyMap<string, number>, now: ReadonlyMap<string, number>): readonly ModelReplicas[] => {
  const changed: ModelReplicas[] = []
  for (const [modelName, replicaCount] of now) {
    if (before.get(modelName) !== replicaCount) changed.push({ modelName, replicaCount })
  }
  for (const modelName of before.keys()) {
    if (!now.has(modelName)) changed.push({ modelName, replicaCount: 1 })
  }
  return changed
}

/** Reports one router's demand to the agents. */
export interface DemandReporter {
  /** Sends each agent the changes since the last report. */
  readonly report: () => void
  /** Reports the router's running models to agents that wait to unload one, without waiting for `report`; only if they have changed. */
  readonly reportLeaving: () => void
}

/**
 * Creates the reporter, which sends each agent the changes of a router's demand, and all of it over a new link.
 *
 * Guards against messages that saturate a router's link: complete reports to all agents at each change delayed requests.
 */
export const createDemandReporter = (meter: DemandMeter, directory: Directory, agents: AgentLinks): DemandReporter => {
  const runningTexts = new Map<string, string>()
  let counts: ReadonlyMap<string, number> = new Map()

  const noteRuns = (serverAddress: string, runningText: string): boolean => {
    const hasNewRuns = runningText !== (runningTexts.get(serverAddress) ?? '')
    runningTexts.set(serverAddress, runningText)
    return hasNewRuns
  }

  const report = (): void => {
    const metered = meter.read()
    const all = metered.map(({ demand }) => demand)
    const fresh = metered.filter(({ isNew }) => isNew).map(({ demand }) => demand)
    const replicas = viewReplicas(directory)
    const nextCounts = countsOf(replicas)
    const changed = changedReplicas(counts, nextCounts)
    counts = nextCounts

    const common: Demand = { type: 'demand', models: fresh, replicas: changed }
    const isCommonEmpty = fresh.length === 0 && changed.length === 0

    agents.sendToEach((serverAddress, isNewLink): Demand | undefined => {
      const runningModels = directory.runningModels(serverAddress)
      const hasNewRuns = noteRuns(serverAddress, runningModels.join())
      if (isNewLink) return { type: 'demand', models: all, replicas, runningModels }
      if (hasNewRuns) return { ...common, runningModels }
      return isCommonEmpty ? undefined : common
    })
  }

  const reportLeaving = (): void => {
    for (const address of directory.leavingAddresses()) {
      const runningModels = directory.runningModels(address)
      if (!noteRuns(address, runningModels.join())) continue
      agents.find(address)?.send({ type: 'demand', models: [], replicas: [], runningModels })
    }
  }

  return { report, reportLeaving }
}
