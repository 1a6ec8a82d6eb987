/** Bytes of state in one chunk, so that one record is never large for the log. */
export const CHUNK_BYTES = 256 * 1024

/** Largest state that a snapshot may unfold to; more is refused as malformed. */
export const MAX_STATE_BYTES = 512 * 1024 * 1024

/** Incomplete snapshots that a reader gathers at a time; the one begun first is given up. */
export const GATHERED_LIMIT = 4

/** Log time after which a snapshot is appended again unless the settings say otherwise. */
export const SNAPSHOT_PERIOD_MS = 900_000

/** Records after which a snapshot is appended again, to bound what a new process must fold. */
export const SNAPSHOT_RECORD_COUNT = 20_000

/** How often the process whose turn it is looks whether a snapshot is due. */
export const SNAPSHOT_CHECK_MS = 5_000
