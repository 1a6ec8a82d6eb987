import { estimateBatchDelayMs } from './estimateBatchDelay.js'

import type { EngineLoad } from './estimateBatchDelay.js'

/** Change of an engine's delay that can alter the choice between engines with the same model. */
const CHOICE_STEP_MS = 20

/** Threshold when no other engine has the models: routers then only need to see whether requests queue. */
const QUEUE_STEP_MS = 200

/** Time after which smaller changes are reported as well. */
const REFRESH_MS = 1_000

/** The load that was last reported to routers, and its age. */
export interface ReportedEngineLoad {
  readonly load: EngineLoad
  readonly ageMs: number
  /** Another engine also holds one of this engine's models. */
  readonly hasReplicaElsewhere: boolean
}

/**
 * Whether an engine's load has changed enough to be reported to routers.
 *
 * Load pattern: many engines with rarely used models, and many routers. The load changes with each request, and reporting every
 * change would make up most of the messages, although a router has no choice to make when only one engine has the model.
 */
export const shouldReportLoad = ({ load, ageMs, hasReplicaElsewhere }: ReportedEngineLoad, now: EngineLoad): boolean => {
  const changeMs = Math.abs(estimateBatchDelayMs(now) - estimateBatchDelayMs(load))
  if (changeMs >= (hasReplicaElsewhere ? CHOICE_STEP_MS : QUEUE_STEP_MS)) return true
  return changeMs > 0 && ageMs >= REFRESH_MS
}
