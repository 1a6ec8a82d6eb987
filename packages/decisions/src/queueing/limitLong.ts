import type { LimitLong, RunningView, WaitingRequest } from './types.js'

/** A request is long when its expected tokens exceed the mean by this factor. */
const LONG_FACTOR = 4
/** Share of the slots that long requests may occupy. With a quarter reserved, short requests start within a few seconds. */
const MAX_LONG_SHARE = 0.75

const isLong = (request: WaitingRequest, view: RunningView): boolean => request.expectedTokens > view.meanTokens * LONG_FACTOR

/** Baseline: any request may take any slot. */
export const limitNothing: LimitLong = waiting => waiting

/**
 * Reserves a quarter of the batch for short requests.
 *
 * Load pattern: a few long requests among many short ones. Once long requests hold all slots, no queue order helps:
 * a short request has to wait until the first of them ends. The reserved slots stay empty while there are no short
 * requests, which costs long ones at most a quarter of the server.
 */
export const limitLong: LimitLong = (waiting, view) => {
  const longCount = view.running.filter(one => isLong(one, view)).length
  // A batch of one has no slot to reserve. Without the minimum of one, long requests would never start there.
  if (longCount < Math.max(1, Math.floor(view.batchSlots * MAX_LONG_SHARE))) return waiting
  return waiting.filter(one => !isLong(one, view))
}
