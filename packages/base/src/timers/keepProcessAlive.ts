import type { Unsubscribe } from './types.js'

/** Longest period that Node's timers accept. */
const MAX_INTERVAL_MS = 2 ** 31 - 1

/**
 * Keeps the process alive until the returned function is called. The timer service's timers do not, so a tool that
 * waits with no open connection would exit halfway with exit code 13.
 */
export const keepProcessAlive = (): Unsubscribe => {
  const interval = setInterval(() => {}, MAX_INTERVAL_MS)
  return () => clearInterval(interval)
}
