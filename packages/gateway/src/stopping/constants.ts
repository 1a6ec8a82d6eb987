/** After a stop was requested, connections are accepted for this long: the balancer notices within two of its checks, a second apart. */
export const LAME_DUCK_MS = 3_000

/** How often a stopping router checks whether it still has open requests. */
export const DRAIN_CHECK_PERIOD_MS = 50

/** The last part of the stop's time, reserved for the final answers and the end of the process. */
export const DRAIN_MARGIN_MS = 400

/** Part of that margin in which the final answers of open requests are sent; a link delivers one in a few ms. */
export const LAST_ANSWERS_MS = 200

/** Minimum time from a request's send to the end of its answer. Answers of its kind that are known to take longer get more. */
export const MIN_ANSWER_MS = 2_000

/** Answers of a narrow kind that have to be measured before its times count, in place of those of a wider one. */
export const MIN_KIND_ANSWERS = 4

/** Most kinds of answers whose times a router keeps. */
export const MAX_ANSWER_KINDS = 2_000
