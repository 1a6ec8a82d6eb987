import type { StorePace } from './types.js'

/** A store that has not refused lately. */
export const freshPace: StorePace = { notBeforeMs: 0, failureCount: 0 }

/** Holds back loads from the weight store after it refused one; how long is a decision of its own. */
export const holdBack = (pace: StorePace, pauseMs: number, nowMs: number): StorePace =>
  ({ failureCount: pace.failureCount + 1, notBeforeMs: nowMs + pauseMs })

/** A load from the store went through. */
export const easeStore = (pace: StorePace): StorePace => ({ ...pace, failureCount: Math.max(0, pace.failureCount - 1) })
