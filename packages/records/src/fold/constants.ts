/** Maximum number of earlier versions stored per item, for `history` and `rollback`. */
export const MAX_HISTORY_LENGTH = 20

/**
 * Maximum size of earlier bodies stored per item. A service of 2,000 models takes up to a megabyte,
 * and twenty versions of it would make the state exceed a process's 256 MB. The version before the
 * current one is always stored.
 */
export const MAX_HISTORY_BYTES = 256 * 1024

/** Maximum number of configuration items, including retired ones: an item's version numbers must never restart. */
export const MAX_ITEMS = 10_000

/**
 * Number of record ids that the fold remembers to ignore a second copy of an append. At the log's
 * several hundred records a second this covers some seconds, which is longer than a writer retries;
 * besides, a second copy of most kinds of record is harmless.
 */
export const MAX_RECENT_RECORD_IDS = 2048

/** Maximum number of gone instances in the state; beyond it the oldest are deleted. */
export const MAX_GONE_AGENTS = 1000
