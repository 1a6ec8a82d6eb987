import type { ShedWaiting } from './types.js'

/** Baseline: requests wait until their deadline. */
export const shedNothing: ShedWaiting = () => []

/**
 * Selects the waiting requests that could not end before their deadline even if they started now.
 *
 * Load pattern: overload, or a server that became slow after it admitted them. Without shedding such requests start, hold a
 * slot in the batch and are aborted unfinished, which wastes capacity that others wait for. Their callers are
 * refused ("not run") now instead of at the deadline.
 */
export const shedHopeless: ShedWaiting = (waiting, tokenIntervalMs, nowMs) =>
  waiting.filter(one => nowMs + (one.boundTokens ?? one.expectedTokens) * tokenIntervalMs > one.deadlineAtMs)
