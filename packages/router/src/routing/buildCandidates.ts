import { isEligible } from './isEligible.js'

import type { InstanceName } from '@figmount/base'
import type { RoutingCandidate } from '@figmount/decisions'
import type { AgentFacts, RightState } from '@figmount/records'
import type { RoutingSources, CandidateQuery } from './types.js'

/** Fields of a candidate that describe its agent as a whole, independent of the model. */
const agentFields = (sources: RoutingSources, instance: InstanceName) => {
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

const candidateOf = (sources: RoutingSources, query: CandidateQuery, right: RightState): RoutingCandidate => {
  const slotIndex = right.key.kind === 'replica' ? right.key.slotIndex : 0
  const models = sources.viewOf(right.holder)?.report?.models ?? []
  const model = models.find(entry => entry.model === right.key.target && entry.slotIndex === slotIndex)
  return {
    ...agentFields(sources, right.holder),
    slotIndex,
    fence: right.fence,
    state: model?.state ?? 'cold',
    readyInMs: model?.readyInMs ?? query.coldStartMs,
    hasAdapter: query.adapter === '' || (model?.adapters.includes(query.adapter) ?? false),
    hasPrefix: sources.hasPrefix(right.holder)
  }
}

/** Builds the candidates for a model: the replica slots that can accept a request, lowest slot first, as last reported. */
export const buildCandidates = (sources: RoutingSources, query: CandidateQuery): readonly RoutingCandidate[] =>
  query.replicas
    .filter(right => !query.excluded.has(right.holder) && isEligible(sources, right.holder))
    .map(right => candidateOf(sources, query, right))

const servesPlain = (agent: AgentFacts, service: string): boolean =>
  agent.backendKind === 'plain' && agent.services.some(name => name === service)

/** Builds the candidates for a plain service: the agents that can accept a call. */
export const buildPlainCandidates = (
  sources: RoutingSources,
  service: string,
  excluded: ReadonlySet<InstanceName>
): readonly RoutingCandidate[] =>
  [...sources.agents.values()]
    .filter(agent => servesPlain(agent, service) && !excluded.has(agent.instance) && isEligible(sources, agent.instance))
    .map(agent => ({
      ...agentFields(sources, agent.instance),
      slotIndex: 0,
      fence: agent.offset,
      state: 'ready',
      readyInMs: 0,
      hasAdapter: true,
      hasPrefix: false
    }))
