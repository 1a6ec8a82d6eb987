import { viewReplicas } from '../placing/viewServers.js'

import type { Demand } from '@figmount/fleet'
import type { AgentLinks } from '../agents/createAgentLinks.js'
import type { DemandMeter } from '../demand/createDemandMeter.js'
import type { Directory } from '../directory/createDirectory.js'

/** Makes what tells each agent what has changed in a router's demand; one whose link is new hears all of it. */
export const createDemandTeller = (meter: DemandMeter, directory: Directory, agents: AgentLinks): () => void => {
  const runningTexts = new Map<string, string>()
  let replicasText = ''

  return () => {
    const metered = meter.read()
    const all = metered.map(({ demand }) => demand)
    const fresh = metered.filter(({ isNew }) => isNew).map(({ demand }) => demand)
    const replicas = viewReplicas(directory)
    const nextReplicasText = JSON.stringify(replicas)
    const hasNewReplicas = nextReplicasText !== replicasText
    replicasText = nextReplicasText
    meter.reset()

    agents.sendToEach((serverAddress, isNewLink) => {
      const runningModels = directory.runningModels(serverAddress)
      const runningText = runningModels.join()
      const hasNewRuns = isNewLink || runningText !== (runningTexts.get(serverAddress) ?? '')
      runningTexts.set(serverAddress, runningText)
      const models = isNewLink ? all : fresh
      if (models.length === 0 && !hasNewRuns && !hasNewReplicas) return undefined
      const message: Demand = { type: 'demand', models, ...(isNewLink || hasNewReplicas ? { replicas } : {}), ...(hasNewRuns ? { runningModels } : {}) }
      return message
    })
  }
}
