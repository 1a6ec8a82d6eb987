import type { KeepAlive } from './types.js'

const DEFAULT_KEEP_MS = 300_000

/** Baseline: a fixed timeout after the last request. */
export const keepFixedTime = (keepMs = DEFAULT_KEEP_MS): KeepAlive => view => Math.max(0, keepMs - view.idleMs)
