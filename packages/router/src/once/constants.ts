/** Time for which the holder of a keys right is tried before the caller is refused. */
export const HOLDER_WAIT_MS = 5_000

/** Pause before a holder that did not answer is asked again. */
export const ASK_AGAIN_MS = 250

/** Resends after which a caller is told that coming back for an unknown attempt is of no use: some five seconds. */
export const UNKNOWN_RESENDS = 5
