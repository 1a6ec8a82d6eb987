/** Period of the timer that detects pauses of the process. */
export const PAUSE_TICK_MS = 250

/** A longer gap between two ticks counts as a pause: four ticks, well above a long turn of the event loop. */
export const PAUSE_MS = 1_000

/**
 * How long the process must have run without a pause and without a confirming read before it treats the log as
 * unreachable. Above the deadline of one long poll, so that a read sent after the pause has either confirmed or failed.
 */
export const OUTAGE_CONFIRM_MS = 4_000
