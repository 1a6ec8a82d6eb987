/** Longest time between frames to a caller. A caller treats its connection as dead after three such intervals of silence. */
export const WAITING_FRAME_MS = 1_000

/**
 * Attempts per request, including the first: one request may lose two backend servers and meet
 * one more agent that refuses because it is shutting down.
 */
export const MAX_ATTEMPTS = 4

/**
 * Time past the deadline in which the agent may still report the outcome: only the agent can tell
 * whether the request has run.
 */
export const DEADLINE_GRACE_MS = 250

/** Number of received frames after which they are acknowledged, so that the agent can discard them. */
export const ACK_FRAME_COUNT = 32

/**
 * A repeatable attempt is abandoned after this time without a link, or after this many failed dials:
 * restarting it is cheap.
 */
export const REPEATABLE_LOST_MS = 1_500
export const REPEATABLE_LOST_DIALS = 2

/**
 * A non-repeatable attempt is abandoned later: its agent stores the answer, and abandoning it means
 * reporting to the caller that the request may have run.
 */
export const ONCE_LOST_MS = 5_000

/** Timeout for the handshake with an agent when a link is opened for a request. */
export const OPEN_WAIT_MS = 2_000

/** Retry delay of a refusal for which no better estimate exists. */
export const DEFAULT_RETRY_AFTER_MS = 1_000

/** Time to wait for further agents once at least one link is open: a few round trips. */
export const MORE_REPORTS_WAIT_MS = 20

/** Maximum number of tokens in one frame to a caller; a few KB. */
export const MAX_FRAME_TOKENS = 256

/** Maximum age of a report that a refusal is based on. Limits the reports requested before refusals to five per second and link. */
export const RECENT_REPORT_MS = 200

/** Timeout for the report that is requested before a refusal. */
export const REFRESH_WAIT_MS = 100
