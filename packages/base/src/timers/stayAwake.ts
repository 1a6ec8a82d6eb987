import type { Unsubscribe } from './types.js'

/** Longest period that Node's timers take. */
const LONGEST_MS = 2 ** 31 - 1

/**
 * Keeps the process alive until the returned function is called. The timers of the timer service do not, so a
 * tool that only waits, with no connection open, would end in the middle of it with exit code 13.
 */
export const stayAwake = (): Unsubscribe => {
  const awake = setInterval(() => {}, LONGEST_MS)
  return () => clearInterval(awake)
}
