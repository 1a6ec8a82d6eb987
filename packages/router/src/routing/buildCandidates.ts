import { isEligible } from './isEligible.js'

import type { InstanceName } from '@figmount/base'
import type { RoutingCandidate } from '@figmount/decisions'
import type { RightState } from '@figmount/records'
import type { RoutingSources, Wanted } from './types.js'

const candidateOf = (sources: RoutingSources, wanted: Wanted, right: RightState): RoutingCandidate => {
  const view = sources.viewOf(right.holder)
  const report = view?.report
  const slotIndex = right.key.kind === 'replica' ? right.key.slotIndex : 0
  const model = report?.models.find(entry => entry.model === right.key.target && entry.slotIndex === slotIndex)
  const reportAtMs = view?.reportAtMs ?? -Infinity
  return {
    instance: right.holder,
    slotIndex,
    fence: right.fence,
    state: model?.state ?? 'cold',
    readyInMs: model?.readyInMs ?? wanted.coldStartMs,
    queuedSeconds: report?.queuedSeconds ?? 0,
    unreportedSeconds: sources.unreportedSeconds(right.holder, reportAtMs),
    reportAgeMs: sources.nowMs - reportAtMs,
    batchSize: report?.batchSize ?? 1,
    tokenIntervalMs: report?.tokenIntervalMs ?? 0,
    hasAdapter: wanted.adapter === '' || (model?.adapters.includes(wanted.adapter) ?? false),
    hasPrefix: sources.hasPrefix(right.holder),
    sameDataCentre: sources.list.instances.get(right.holder)?.dataCentre === sources.ownDataCentre
  }
}

/** The slots of a model that may get a request now, lowest slot first, as the last reports show them. */
export const buildCandidates = (sources: RoutingSources, wanted: Wanted): readonly RoutingCandidate[] =>
  wanted.replicas
    .filter(right => !wanted.excluded.has(right.holder) && isEligible(sources, right.holder))
    .map(right => candidateOf(sources, wanted, right))

/** The agents of a plain service that may get a call now. */
export const buildPlainCandidates = (
  sources: RoutingSources,
  service: string,
  excluded: ReadonlySet<InstanceName>
): readonly RoutingCandidate[] => {
  const agents = [...sources.agents.values()].filter(agent =>
    agent.backendKind === 'plain' && agent.services.some(name => name === service))
  return agents
    .filter(agent => !excluded.has(agent.instance) && isEligible(sources, agent.instance))
    .map(agent => {
      const view = sources.viewOf(agent.instance)
      const reportAtMs = view?.reportAtMs ?? -Infinity
      return {
        instance: agent.instance,
        slotIndex: 0,
        fence: agent.offset,
        state: 'ready',
        readyInMs: 0,
        queuedSeconds: view?.report?.queuedSeconds ?? 0,
        unreportedSeconds: sources.unreportedSeconds(agent.instance, reportAtMs),
        reportAgeMs: sources.nowMs - reportAtMs,
        batchSize: view?.report?.batchSize ?? 1,
        tokenIntervalMs: view?.report?.tokenIntervalMs ?? 0,
        hasAdapter: true,
        hasPrefix: false,
        sameDataCentre: sources.list.instances.get(agent.instance)?.dataCentre === sources.ownDataCentre
      }
    })
}
