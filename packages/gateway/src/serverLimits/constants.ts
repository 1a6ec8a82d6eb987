/** Limits stored at once: more than there are servers. */
export const MAX_LIMITED = 10_000

/** Time for which a limit that has ended is remembered: if it is named again, its slots go on. */
export const OVER_RETENTION_MS = 10_000

/** Time after which a limit is forgotten that no answer has named: its server is gone, as even a server that takes nothing is asked in it. */
export const UNSEEN_RETENTION_MS = 1_800_000

/** Minimum time between two messages to other routers about one server's limit. */
export const NOTICE_PERIOD_MS = 500

/** How often a request that waits for a limited server looks for another one. */
export const TURN_CHECK_PERIOD_MS = 50

/** Reason with which a request is refused whose servers are limited. */
export const LIMITED_REASON = 'the servers take no more requests now'
