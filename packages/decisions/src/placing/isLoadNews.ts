import { batchWaitMs } from './batchWait.js'

import type { EngineLoad } from './batchWait.js'

/** A change of the wait at an engine, beside other engines with the same model, that changes which of them is chosen. */
const CHOICE_STEP_MS = 20

/** The same where no other engine has the models: it shows only whether requests queue. */
const QUEUE_STEP_MS = 200

/** Time after which smaller changes are told too. */
const REFRESH_MS = 1_000

/** What routers were told of an engine's load, and when. */
export interface ToldEngineLoad {
  readonly load: EngineLoad
  readonly ageMs: number
  /** Another engine holds one of its models too. */
  readonly hasReplicaElsewhere: boolean
}

/**
 * Whether an engine's load has changed so that routers must hear of it.
 *
 * Load pattern: many engines with rare models before many routers. The load changes with each request, and told each time it is
 * most of the messages between them, though a router that knows one engine for a model has nothing to choose.
 */
export const isLoadNews = ({ load, ageMs, hasReplicaElsewhere }: ToldEngineLoad, now: EngineLoad): boolean => {
  const changeMs = Math.abs(batchWaitMs(now) - batchWaitMs(load))
  if (changeMs >= (hasReplicaElsewhere ? CHOICE_STEP_MS : QUEUE_STEP_MS)) return true
  return changeMs > 0 && ageMs >= REFRESH_MS
}
