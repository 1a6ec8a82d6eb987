import { create } from '@bufbuild/protobuf'
import { InstanceStatusSchema, MetricLineSchema, ReplicaStatusSchema, StatusResponseSchema } from '@figmount/schema'

import type { InstanceName, LogOffset, Metrics, TimerService } from '@figmount/base'
import type { RecordsClient, RightState } from '@figmount/records'
import type { InstanceStatus, MetricLine, ReplicaStatus, StatusResponse } from '@figmount/schema'
import type { AgentView } from '../links/types.js'
import type { InstanceList, ListedInstance } from '../membership/types.js'

export interface StatusSources {
  readonly instance: InstanceName
  readonly dataCentre: string
  readonly isStopping: () => boolean
  readonly requestCount: () => number
  readonly records: RecordsClient
  readonly list: () => InstanceList
  readonly viewOf: (instance: InstanceName) => AgentView | undefined
  /** Opens links to some agents without known state, so that the next status includes them. */
  readonly linkUnknownAgents: () => void
  /** The highest offset that an instance is known to have applied, from links and other routers. */
  readonly appliedOffsetOf: (instance: InstanceName) => LogOffset | undefined
  readonly metrics: Metrics
  readonly timers: TimerService
}

/** Maximum age of the last confirmed read of the log for it to count as reachable; several long polls. */
const MAX_LOG_AGE_MS = 5_000

const ageOf = (nowMs: number, atMs: number): number => Number.isFinite(atMs) ? Math.max(0, Math.round(nowMs - atMs)) : 0

const stateOf = (sources: StatusSources, listed: ListedInstance | undefined, view: AgentView | undefined, instance: InstanceName): string => {
  const facts = sources.records.state().agents.get(instance)
  if (facts?.gone) return 'gone'
  if (listed?.leaving || (view && sources.timers.nowMs() < view.leavingUntilMs)) return 'leaving'
  if (facts?.draining) return 'draining'
  if (view?.isOpen) return 'linked'
  if (view?.unreachableSinceMs !== undefined) return 'unreachable'
  return listed ? 'listed' : 'unlisted'
}

const otherStatus = (sources: StatusSources, instance: InstanceName): InstanceStatus => {
  const state = sources.records.state()
  const listed = sources.list().instances.get(instance)
  const view = sources.viewOf(instance)
  const report = view?.report
  return create(InstanceStatusSchema, {
    instance,
    role: listed?.role ?? (state.agents.has(instance) ? 'agent' : 'router'),
    dataCentre: listed?.dataCentre ?? state.agents.get(instance)?.dataCentre ?? '',
    state: stateOf(sources, listed, view, instance),
    appliedOffset: BigInt(sources.appliedOffsetOf(instance) ?? 0),
    ageMs: view ? ageOf(sources.timers.nowMs(), view.reportAtMs) : 0,
    runningCount: report?.runningCount ?? 0,
    queuedCount: report?.queuedCount ?? 0,
    memoryUsedMb: report?.memoryUsedMb ?? 0,
    memoryCapacityMb: report?.memoryCapacityMb ?? state.agents.get(instance)?.memoryCapacityMb ?? 0
  })
}

const ownStatus = (sources: StatusSources): InstanceStatus => create(InstanceStatusSchema, {
  instance: sources.instance,
  role: 'router',
  dataCentre: sources.dataCentre,
  state: sources.isStopping() ? 'leaving' : 'serving',
  appliedOffset: BigInt(sources.records.state().nextOffset),
  runningCount: sources.requestCount()
})

const replicaOf = (sources: StatusSources, right: RightState): readonly ReplicaStatus[] => {
  if (right.key.kind !== 'replica') return []
  const { target, slotIndex } = right.key
  const report = sources.viewOf(right.holder)?.report
  const model = report?.models.find(entry => entry.model === target && entry.slotIndex === slotIndex)
  return [create(ReplicaStatusSchema, {
    model: target,
    slotIndex,
    instance: right.status === 'free' ? '' : right.holder,
    slotState: right.status,
    loadState: model?.state ?? (report ? 'cold' : 'unknown'),
    version: model?.version ?? '',
    fence: BigInt(right.fence)
  })]
}

const metricLines = (metrics: Metrics): readonly MetricLine[] =>
  metrics.lines().map(({ name, value }) => create(MetricLineSchema, { name, value }))

/** Describes the state of the system as known to this router. */
export const describeStatus = (sources: StatusSources): StatusResponse => {
  const state = sources.records.state()
  const names = new Set([...sources.list().instances.keys(), ...state.agents.keys()])
  names.delete(sources.instance)
  return create(StatusResponseSchema, {
    logHeadOffset: BigInt(state.nextOffset),
    instances: [ownStatus(sources), ...[...names].sort().map(name => otherStatus(sources, name))],
    replicas: [...state.rights.values()].flatMap(right => replicaOf(sources, right)),
    metrics: [...metricLines(sources.metrics)],
    logReachable: sources.timers.nowMs() - sources.records.confirmedAtMs() < MAX_LOG_AGE_MS
  })
}
