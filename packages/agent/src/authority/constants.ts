/** Period of the pause watch. */
export const PAUSE_TICK_MS = 250

/** A gap between two ticks above this is a pause. Grounds: four ticks, far above a long turn of the event loop. */
export const PAUSE_MS = 1_000

/**
 * How long the process must have run without a pause and without a confirming read before it
 * takes the log to be out of reach. Grounds: above the deadline of one long poll, so that a read
 * sent after the pause has either confirmed or failed.
 */
export const OUTAGE_PROOF_MS = 4_000
