import { STORE_RETRY_MAX_MS, STORE_RETRY_MS } from './constants.js'

import type { StorePace } from './types.js'

/** A store that has not refused lately. */
export const freshPace: StorePace = { notBeforeMs: 0, failureCount: 0 }

/**
 * Holds back loads from the weight store after it refused one.
 *
 * Load pattern: many agents start cold at once at a store that takes four loads. Without a pause all ask again at
 * once and the refusals themselves use up its rate. The pause doubles with each refusal, is drawn at random, so
 * that agents spread, and is divided by the number of requests that wait: of agents that compete the one with most
 * waiting tends to ask first, which orders the loads of the fleet without a scheduler.
 */
export const backOffStore = (pace: StorePace, waitingCount: number, nowMs: number, random: () => number): StorePace => {
  const failureCount = pace.failureCount + 1
  const ceilingMs = Math.min(STORE_RETRY_MAX_MS, STORE_RETRY_MS * 2 ** (failureCount - 1))
  const weight = 1 + Math.log2(1 + Math.max(0, waitingCount - 1))
  const pauseMs = (ceilingMs / 2 + random() * ceilingMs / 2) / weight
  return { failureCount, notBeforeMs: nowMs + pauseMs }
}

/** A load from the store went through. */
export const easeStore = (pace: StorePace): StorePace => ({ ...pace, failureCount: Math.max(0, pace.failureCount - 1) })
