/** Ends a subscription; calling it again does nothing. */
export type Unsubscribe = () => void

/**
 * The one source of time. Parts subscribe to it instead of calling Node's timers,
 * so that tests can run in virtual time.
 */
export interface TimerService {
  /** Monotonic time in ms; goes on while the process is paused. */
  readonly nowMs: () => number
  /** Wall clock time in ms since the Unix epoch. */
  readonly unixMs: () => number
  /** Calls `fire` once after `delayMs`. */
  readonly after: (delayMs: number, fire: () => void) => Unsubscribe
  /** Calls `fire` every `periodMs`, first within one period: all that share a period are called at the same ticks. */
  readonly every: (periodMs: number, fire: () => void) => Unsubscribe
}
