import type { ModelId } from '@figmount/base'
import type { Attempt } from '../attempts/types.js'
import type { Demand } from '../loading/types.js'
import type { QueuedAttempt } from './createQueue.js'
import type { Wake } from './createWakes.js'

interface Builder {
  waitingCount: number
  runningCount: number
  highestPriority: number
  earliestDeadlineMs: number
  askedAtMs: number
  version: string
  readonly wantedAdapters: Set<string>
  readonly runningAdapters: Set<string>
}

const emptyBuilder = (): Builder => ({
  waitingCount: 0,
  runningCount: 0,
  highestPriority: 0,
  earliestDeadlineMs: Number.POSITIVE_INFINITY,
  askedAtMs: Number.POSITIVE_INFINITY,
  version: '',
  wantedAdapters: new Set(),
  runningAdapters: new Set()
})

const addWake = (builder: Builder, { version, adapter, priority, askedAtMs }: Wake): void => {
  builder.waitingCount += 1
  builder.highestPriority = Math.max(builder.highestPriority, priority)
  if (adapter !== '') builder.wantedAdapters.add(adapter)
  if (askedAtMs >= builder.askedAtMs) return
  builder.askedAtMs = askedAtMs
  builder.version = version
}

/**
 * Sums up who waits for and runs on each model. The version wanted is that of the request that has waited longest,
 * so that two versions asked for in turn both get served. A wake counts as one who waits without a deadline.
 */
export const viewDemands = (
  queued: Iterable<QueuedAttempt>,
  running: Iterable<Attempt>,
  versionOf: (attempt: Pick<Attempt, 'request'>) => string,
  wakes: readonly Wake[] = []
): ReadonlyMap<ModelId, Demand> => {
  const builders = new Map<ModelId, Builder>()
  const builderFor = (model: ModelId): Builder => {
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
  for (const wake of wakes) addWake(builderFor(wake.model), wake)
  return builders
}
