import type { ModelId } from '@figmount/base'
import type { Attempt } from '../attempts/types.js'
import type { Demand } from '../loading/types.js'
import type { QueuedAttempt } from './createQueue.js'
import type { LoadRequest } from './createLoadRequests.js'

interface DemandBuilder {
  waitingCount: number
  runningCount: number
  highestPriority: number
  earliestDeadlineMs: number
  askedAtMs: number
  version: string
  readonly wantedAdapters: Set<string>
  readonly runningAdapters: Set<string>
}

const emptyBuilder = (): DemandBuilder => ({
  waitingCount: 0,
  runningCount: 0,
  highestPriority: 0,
  earliestDeadlineMs: Number.POSITIVE_INFINITY,
  askedAtMs: Number.POSITIVE_INFINITY,
  version: '',
  wantedAdapters: new Set(),
  runningAdapters: new Set()
})

const addLoadRequest = (builder: DemandBuilder, { version, adapter, priority, askedAtMs }: LoadRequest): void => {
  builder.waitingCount += 1
  builder.highestPriority = Math.max(builder.highestPriority, priority)
  if (adapter !== '') builder.wantedAdapters.add(adapter)
  if (askedAtMs >= builder.askedAtMs) return
  builder.askedAtMs = askedAtMs
  builder.version = version
}

/**
 * Aggregates the waiting and running requests of each model. The wanted version is that of the request that has waited
 * longest, so that two versions requested in turn are both served. A load request counts as one waiting request
 * without a deadline.
 */
export const viewDemands = (
  queued: Iterable<QueuedAttempt>,
  running: Iterable<Attempt>,
  versionOf: (attempt: Pick<Attempt, 'request'>) => string,
  loadRequests: readonly LoadRequest[] = []
): ReadonlyMap<ModelId, Demand> => {
  const builders = new Map<ModelId, DemandBuilder>()
  const builderFor = (model: ModelId): DemandBuilder => {
    const known = builders.get(model)
    if (known) return known
    const made = emptyBuilder()
    builders.set(model, made)
    return made
  }
  for (const { attempt } of queued) {
    const builder = builderFor(attempt.request.model)
    builder.waitingCount += 1
    builder.highestPriority = Math.max(builder.highestPriority, attempt.request.priority)
    builder.earliestDeadlineMs = Math.min(builder.earliestDeadlineMs, attempt.deadlineAtMs)
    if (attempt.request.adapter !== '') builder.wantedAdapters.add(attempt.request.adapter)
    if (attempt.arrivedAtMs >= builder.askedAtMs) continue
    builder.askedAtMs = attempt.arrivedAtMs
    builder.version = versionOf(attempt)
  }
  for (const attempt of running) {
    const builder = builderFor(attempt.request.model)
    builder.runningCount += 1
    if (attempt.request.adapter !== '') builder.runningAdapters.add(attempt.request.adapter)
  }
  for (const loadRequest of loadRequests) addLoadRequest(builderFor(loadRequest.model), loadRequest)
  return builders
}
