import type { FoldOutcome } from './types.js'

/** The outcome of a record that took effect. */
export const applied: FoldOutcome = { applied: true }

/** The outcome of a record that broke a rule; every process ignores it alike. */
export const ignored = (reason: string): FoldOutcome => ({ applied: false, reason })
