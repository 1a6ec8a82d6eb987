/** Earlier versions kept of each item, for `history` and `rollback`. */
export const HISTORY_LENGTH = 20

/**
 * Bytes of earlier bodies kept of each item. Grounds: a service of 2,000 models takes up to
 * a megabyte; twenty of them would make the state outgrow a process's 256 MB. The version
 * before the present one is always kept.
 */
export const HISTORY_BYTES = 256 * 1024

/** Items of the configuration in all, retired ones included, whose version numbers must not start again. */
export const ITEM_LIMIT = 10_000

/**
 * Record ids that the fold remembers to drop a second copy of an append.
 * Grounds: at the log's several hundred records a second this spans some seconds, longer
 * than a writer keeps trying; and most kinds are harmless when doubled anyhow.
 */
export const RECENT_ID_COUNT = 2048

/** Instances that are gone and are still remembered; the oldest are forgotten first. */
export const GONE_AGENT_LIMIT = 1000
