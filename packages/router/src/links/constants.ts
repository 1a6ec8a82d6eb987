/**
 * A connection without attempts is closed after this long. Grounds: an open but idle one
 * costs about 200 bytes a second for heartbeats, a new one about 1 KB, so below some
 * seconds opening anew would cost more; a burst's gaps are shorter than this.
 */
export const IDLE_LINK_MS = 30_000

/**
 * Open connections without attempts that are kept; beyond it the longest unused is closed.
 * Grounds: one costs 134 bytes and 0.3 ms of processor a second (`docs/design/silence.md`), so
 * thirty take 4 KB of the 7 KB and a third of the 25 ms a second that control may cost.
 */
export const MAX_IDLE_LINKS = 30

/**
 * Reports asked for over all links on which other messages flow. Grounds: 541 bytes each with
 * its question, 2.7 KB of the 7 KB a second that control may cost; five links get one every second,
 * 440 links one in 88 s, and in between a choice goes by the own sends.
 */
export const REPORTS_PER_SECOND = 5

/**
 * An agent's word that it leaves outlives its link by this long. Grounds: the platform's list
 * shows it as live for some seconds more; afterwards the list is right, and the same instance
 * may have started anew.
 */
export const LEAVING_MEMORY_MS = 10_000

/** First pause before dialling again; doubled after each failure up to MAX_BACKOFF_MS. */
export const FIRST_BACKOFF_MS = 100
export const MAX_BACKOFF_MS = 2_000

/**
 * Frames that wait for one slow caller. Beyond it they are dropped and asked for again
 * from the agent when the caller has read on, so a slow reader costs a bounded amount.
 */
export const MAILBOX_FRAME_COUNT = 256

/** Time within which the holder of a keys right has to answer. */
export const PERMIT_WAIT_MS = 1_500
