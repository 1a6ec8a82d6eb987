import type { FoldOutcome } from './types.js'

/** The record changed the state. */
export const applied: FoldOutcome = { applied: true }

/** The record broke a rule and is passed over, by every process alike. */
export const ignored = (reason: string): FoldOutcome => ({ applied: false, reason })
