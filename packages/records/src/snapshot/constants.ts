/** Maximum size of one chunk, so that no record becomes too large for the log. */
export const MAX_CHUNK_BYTES = 256 * 1024

/** Maximum size of an inflated state; a larger one is refused as malformed. */
export const MAX_STATE_BYTES = 512 * 1024 * 1024

/** Maximum number of incomplete snapshots that a reader holds; beyond it the oldest is dropped. */
export const MAX_INCOMPLETE_SNAPSHOTS = 4

/** Default log time between two snapshots. */
export const SNAPSHOT_PERIOD_MS = 900_000

/** Number of records after which a new snapshot is due, to limit how many a new process must fold. */
export const MAX_RECORDS_BETWEEN_SNAPSHOTS = 20_000

/** How often the process whose turn it is checks whether a snapshot is due. */
export const SNAPSHOT_CHECK_PERIOD_MS = 5_000
