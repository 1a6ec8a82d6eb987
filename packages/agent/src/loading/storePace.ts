import type { StoreBackoff } from './types.js'

/** The state while the store has refused no recent load. */
export const noBackoff: StoreBackoff = { notBeforeMs: 0, failureCount: 0 }

/** Delays loads from the weight store by `pauseMs` after it refused one. */
export const delayStoreLoads = (backoff: StoreBackoff, pauseMs: number, nowMs: number): StoreBackoff =>
  ({ failureCount: backoff.failureCount + 1, notBeforeMs: nowMs + pauseMs })

/** Reduces the failure count after a successful load from the store. */
export const afterStoreLoad = (backoff: StoreBackoff): StoreBackoff => ({ ...backoff, failureCount: Math.max(0, backoff.failureCount - 1) })
