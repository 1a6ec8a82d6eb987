/** A load that was requested from an engine and has not started. */
export interface QueuedLoad {
  /** The engine has a local copy of the weights, in memory or on disk. */
  readonly hasLocalCopy: boolean
  /** Time that the load takes while no other load slows it down. */
  readonly loadMs: number
}

/** Pending work of an engine, as reported by its agent; times are in ms from now. */
export interface EngineQueue {
  /** Remaining time of the current load; 0 when there is none. */
  readonly loadingLeftMs: number
  /** Time until the engine may start a load from the weight store. */
  readonly coldWaitMs: number
  /** Time to free memory for each load. */
  readonly roomMs: number
  readonly queued: readonly QueuedLoad[]
}

/**
 * Expected time until an engine has finished everything that precedes one more load. Loads of local copies overtake loads from
 * the weight store, which wait for the store rather than for the engine and take ten times as long (`planOrder`).
 *
 * Guards against callers that are refused by an idle engine because models without a local copy are queued on it.
 */
export const estimateBusyMs = ({ loadingLeftMs, coldWaitMs, roomMs, queued }: EngineQueue, hasLocalCopy: boolean): number => {
  let busyMs = loadingLeftMs
  for (const load of queued) {
    if (hasLocalCopy && !load.hasLocalCopy) continue
    const beginMs = load.hasLocalCopy ? busyMs : Math.max(busyMs, coldWaitMs)
    busyMs = beginMs + roomMs + load.loadMs
  }
  return busyMs
}
