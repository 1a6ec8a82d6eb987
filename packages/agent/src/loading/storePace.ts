import type { StoreBackoff } from './types.js'

/** A store that has not refused lately. */
export const noBackoff: StoreBackoff = { notBeforeMs: 0, failureCount: 0 }

/** Holds back loads from the weight store after it refused one; how long is a decision of its own. */
export const delayStoreLoads = (backoff: StoreBackoff, pauseMs: number, nowMs: number): StoreBackoff =>
  ({ failureCount: backoff.failureCount + 1, notBeforeMs: nowMs + pauseMs })

/** A load from the store went through. */
export const afterStoreLoad = (backoff: StoreBackoff): StoreBackoff => ({ ...backoff, failureCount: Math.max(0, backoff.failureCount - 1) })
