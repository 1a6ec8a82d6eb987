import type { LimitLong, RunningView, WaitingRequest } from './types.js'

/** A request is long when it is expected to take this many times the mean. */
const LONG_FACTOR = 4
/** Part of the places that long requests may take: with a quarter kept for short ones these start within a few seconds. */
const LONG_SHARE = 0.75

const isLong = (request: WaitingRequest, view: RunningView): boolean => request.expectedTokens > view.meanTokens * LONG_FACTOR

/** Baseline: any request may take any place. */
export const limitNothing: LimitLong = waiting => waiting

/**
 * Keeps a quarter of the batch free of long requests.
 *
 * Load pattern: few long reports among many short questions. No order of the queue helps once long requests hold all
 * places: the next one falls free only after the shortest rest of them, and a short question waits for that long.
 * The places stay empty when no short request comes, which costs long ones a quarter of the server at most.
 */
export const limitLong: LimitLong = (waiting, view) => {
  const longCount = view.running.filter(one => isLong(one, view)).length
  // A batch of one has no place to keep free; without the floor of one, its long requests would never start.
  if (longCount < Math.max(1, Math.floor(view.batchSlots * LONG_SHARE))) return waiting
  return waiting.filter(one => !isLong(one, view))
}
