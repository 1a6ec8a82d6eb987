/** After a stop was asked for, connections stay open this long: the balancer notices within two of its questions, a second apart. */
export const LAME_DUCK_MS = 3_000

/** Time between two looks whether a stopping router is empty. */
export const DRAIN_CHECK_PERIOD_MS = 50

/** The last part of the time that a stop may take is kept for its end. */
export const DRAIN_MARGIN_MS = 400

/** Part of that margin in which the final answers of open requests go out; a link carries one in a few ms. */
export const LAST_ANSWERS_MS = 200

/** Least time that a request needs from its send to the end of its answer: with less left most streams would be broken off midway. */
export const MIN_ANSWER_MS = 2_000
