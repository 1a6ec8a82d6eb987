/** Ends a subscription; further calls have no effect. */
export type Unsubscribe = () => void

/** Clock and timers. All code uses this service instead of Node's timers, so that tests can run in virtual time. */
export interface TimerService {
  /** Monotonic time in ms; continues while the process is suspended. */
  readonly nowMs: () => number
  /** Wall-clock time in ms since the Unix epoch. */
  readonly unixMs: () => number
  /** Calls `fire` once after `delayMs`. */
  readonly after: (delayMs: number, fire: () => void) => Unsubscribe
  /** Calls `fire` every `periodMs`, the first time within one period: subscribers with the same period share ticks. */
  readonly every: (periodMs: number, fire: () => void) => Unsubscribe
}
