/** A load that an engine is asked for and has not begun. */
export interface QueuedLoad {
  /** The engine has a copy of the weights. */
  readonly isAtHand: boolean
  /** Time that the load takes alone. */
  readonly loadMs: number
}

/** What an engine has to do, as its agent told it; times in ms from now. */
export interface EngineQueue {
  /** Time that the load under way still takes; 0 when there is none. */
  readonly loadingLeftMs: number
  /** Time until the engine may begin a load from the weight store. */
  readonly coldWaitMs: number
  /** Time to make room for each load. */
  readonly roomMs: number
  readonly queued: readonly QueuedLoad[]
}

/**
 * Expected time until an engine has done all that it does before one more load. A load at hand passes those that come from the
 * weight store: they wait for the store and not for the engine, and take ten times as long (`planOrder`).
 *
 * Guards against callers that are sent away from an idle engine because models that lie nowhere are asked for there.
 */
export const estimateBusyMs = ({ loadingLeftMs, coldWaitMs, roomMs, queued }: EngineQueue, isAtHand: boolean): number => {
  let busyMs = loadingLeftMs
  for (const load of queued) {
    if (isAtHand && !load.isAtHand) continue
    const beginMs = load.isAtHand ? busyMs : Math.max(busyMs, coldWaitMs)
    busyMs = beginMs + roomMs + load.loadMs
  }
  return busyMs
}
