import { isEligible } from './isEligible.js'

import type { InstanceName } from '@figmount/base'
import type { RoutingCandidate } from '@figmount/decisions'
import type { AgentFacts, RightState } from '@figmount/records'
import type { RoutingSources, Wanted } from './types.js'

/** What a candidate's agent as a whole brings to a choice, whatever the model. */
const agentPart = (sources: RoutingSources, instance: InstanceName) => {
  const view = sources.viewOf(instance)
  const report = view?.report
  const reportAtMs = view?.reportAtMs ?? -Infinity
  return {
    instance,
    queuedSeconds: report?.queuedSeconds ?? 0,
    unreportedSeconds: sources.unreportedSeconds(instance, reportAtMs),
    reportAgeMs: sources.nowMs - reportAtMs,
    batchSize: report?.batchSize ?? 1,
    tokenIntervalMs: report?.tokenIntervalMs ?? 0,
    tokenIntervalAgeMs: sources.nowMs - (view?.intervalAtMs ?? -Infinity),
    sameDataCentre: sources.list.instances.get(instance)?.dataCentre === sources.ownDataCentre
  }
}

const candidateOf = (sources: RoutingSources, wanted: Wanted, right: RightState): RoutingCandidate => {
  const slotIndex = right.key.kind === 'replica' ? right.key.slotIndex : 0
  const models = sources.viewOf(right.holder)?.report?.models ?? []
  const model = models.find(entry => entry.model === right.key.target && entry.slotIndex === slotIndex)
  return {
    ...agentPart(sources, right.holder),
    slotIndex,
    fence: right.fence,
    state: model?.state ?? 'cold',
    readyInMs: model?.readyInMs ?? wanted.coldStartMs,
    hasAdapter: wanted.adapter === '' || (model?.adapters.includes(wanted.adapter) ?? false),
    hasPrefix: sources.hasPrefix(right.holder)
  }
}

/** The slots of a model that may get a request now, lowest slot first, as the last reports show them. */
export const buildCandidates = (sources: RoutingSources, wanted: Wanted): readonly RoutingCandidate[] =>
  wanted.replicas
    .filter(right => !wanted.excluded.has(right.holder) && isEligible(sources, right.holder))
    .map(right => candidateOf(sources, wanted, right))

const servesPlain = (agent: AgentFacts, service: string): boolean =>
  agent.backendKind === 'plain' && agent.services.some(name => name === service)

/** The agents of a plain service that may get a call now. */
export const buildPlainCandidates = (
  sources: RoutingSources,
  service: string,
  excluded: ReadonlySet<InstanceName>
): readonly RoutingCandidate[] =>
  [...sources.agents.values()]
    .filter(agent => servesPlain(agent, service) && !excluded.has(agent.instance) && isEligible(sources, agent.instance))
    .map(agent => ({
      ...agentPart(sources, agent.instance),
      slotIndex: 0,
      fence: agent.offset,
      state: 'ready',
      readyInMs: 0,
      hasAdapter: true,
      hasPrefix: false
    }))
