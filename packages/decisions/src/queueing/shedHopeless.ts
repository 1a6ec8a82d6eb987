import type { ShedWaiting } from './types.js'

/** Baseline: a request waits until its deadline. */
export const shedNothing: ShedWaiting = () => []

/**
 * Names the waiting requests that could not end before their deadline even if they started now.
 *
 * Load pattern: overload, or a server that became slow after it admitted. Without it such requests are started, hold
 * a place in the batch, and are cut off unfinished: work that nobody receives while others wait. Their callers get
 * their refusal ("not run") now rather than at the deadline.
 */
export const shedHopeless: ShedWaiting = (waiting, tokenIntervalMs, nowMs) =>
  waiting.filter(one => nowMs + (one.boundTokens ?? one.expectedTokens) * tokenIntervalMs > one.deadlineAtMs)
