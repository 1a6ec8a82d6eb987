import type { ChooseRetryAfter } from './types.js'

const FIXED_MS = 1_000

/** Baseline: the same time for all callers. */
export const retryAfterFixed: ChooseRetryAfter = () => FIXED_MS
