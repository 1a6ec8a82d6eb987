/** A caller hears at least this often that its request is alive. It takes silence for a dead connection after three. */
export const WAITING_FRAME_MS = 1_000

/**
 * Attempts of one request, the first included. Grounds: two backend servers may be lost to
 * one request; one more for an agent that refused because it was leaving.
 */
export const MAX_ATTEMPTS = 4

/**
 * Past the deadline the agent's own word is awaited for this long: it alone knows whether
 * the request has run.
 */
export const DEADLINE_GRACE_MS = 250

/** Frames after which the agent is told that it may forget them. */
export const ACK_FRAME_COUNT = 32

/**
 * A repeatable attempt is given up when its agent cannot be dialled twice, or after this
 * time without a link: starting it again costs little.
 */
export const REPEATABLE_LOST_MS = 1_500
export const REPEATABLE_LOST_DIALS = 2

/**
 * An attempt that may not be repeated is asked for longer: its agent keeps the answer, and
 * giving up means telling the caller that it may have run.
 */
export const ONCE_LOST_MS = 5_000

/** Time for an agent to welcome this router when its link is opened for a request. */
export const OPEN_WAIT_MS = 2_000

/** When to come back after a refusal that names no better time. */
export const DEFAULT_RETRY_AFTER_MS = 1_000

/** Time for further agents to welcome this router when one at least has done so: a few round trips. */
export const MORE_REPORTS_WAIT_MS = 20

/** Tokens in one frame to a caller; a few KB. */
export const MAX_FRAME_TOKENS = 256

/** A refusal may rest on reports of this age; it bounds the reports that refusals ask for to five a second and link. */
export const RECENT_REPORT_MS = 200

/** Time for an agent to report when it is asked before a refusal. */
export const REFRESH_WAIT_MS = 100
