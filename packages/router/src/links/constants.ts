/**
 * Time after which a connection without attempts is closed. An open idle connection costs about 200
 * bytes per second for heartbeats and a new one about 1 KB, so closing earlier than after some
 * seconds would cost more than it saves; the gaps within a burst are shorter than this.
 */
export const IDLE_LINK_MS = 30_000

/**
 * Maximum number of open connections without attempts; beyond it the longest idle one is closed. One
 * costs 134 bytes and 0.3 ms of CPU time per second (`docs/design/silence.md`), so thirty take 4 KB of
 * the 7 KB and a third of the 25 ms per second allowed for control traffic.
 */
export const MAX_IDLE_LINKS = 30

/**
 * Rate of report requests over all links that already carry other messages. One takes 541 bytes
 * with its request, or 2.7 KB of the 7 KB per second allowed for control traffic. Five links get a
 * report every second, 440 links one in 88 s; in between, choices rely on this router's own sends.
 */
export const REPORTS_PER_SECOND = 5

/**
 * Time after a link has closed for which the agent still counts as leaving. The platform's list may
 * show it as live for some more seconds; after that the list is accurate, and the same instance may
 * have restarted.
 */
export const LEAVING_EXPIRY_MS = 10_000

/** Backoff after the first failed dial; doubled after each further failure up to MAX_BACKOFF_MS. */
export const FIRST_BACKOFF_MS = 100
export const MAX_BACKOFF_MS = 2_000

/**
 * Maximum number of frames queued for one slow caller. Frames beyond it are dropped and requested
 * from the agent again once the caller has caught up, which bounds the memory of a slow reader.
 */
export const MAILBOX_FRAME_COUNT = 256

/** Timeout for a permit reply from the holder of a keys right. */
export const PERMIT_WAIT_MS = 1_500
