/** Time for which callers may take a stream up again. */
export const RETENTION_MS = 120_000

/** A router in step reads the list of servers, or hears of it, at least this often. */
export const IN_STEP_MS = 2_000
