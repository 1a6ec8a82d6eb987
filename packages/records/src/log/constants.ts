import { MAX_BODY_LENGTH } from '../config/parseBody.js'

import type { LogOffset } from '@figmount/base'

/** Maximum payload of one record: enough for the largest item body and its other fields. */
export const MAX_PAYLOAD_BYTES = 4 * 1024 * 1024

/** Maximum size of an inflated body: each character of the longest body can take four bytes of UTF-8. */
export const MAX_BODY_BYTES = 4 * MAX_BODY_LENGTH

/** How long the log holds a read open while there is no new record. */
export const READ_WAIT_MS = 1_000

/** Time that a read may take beyond its wait before its connection is considered dead. */
export const READ_TIMEOUT_MARGIN_MS = 1_500

/**
 * Minimum time between the starts of two reads. While hundreds of records a second are appended, each long
 * poll returns with a single record, and every process would read hundreds of times a second.
 */
export const MIN_READ_INTERVAL_MS = 50

/** Maximum number of records requested with one read. */
export const READ_MAX_COUNT = 500

/** Initial and maximum backoff after failed reads or appends; each pause is randomised between half and all of it. */
export const INITIAL_BACKOFF_MS = 100
export const MAX_BACKOFF_MS = 2_000

/** Deadline of one append call, after which its outcome is unknown. */
export const APPEND_CALL_TIMEOUT_MS = 1_500

/** Time from `append` until it must have returned an outcome or a fault. */
export const APPEND_DEADLINE_MS = 6_000

/** Maximum number and total size of records in one append call. */
export const BATCH_MAX_COUNT = 256
export const BATCH_MAX_BYTES = 1024 * 1024

/** Maximum number of own outcomes stored for a writer that repeats an append under the same record id. */
export const MAX_REMEMBERED_OUTCOMES = 1_000

/** Maximum number of records that wait for an append; further ones are refused at once. */
export const MAX_QUEUED_APPENDS = 4_000

/**
 * Rate limit for append calls of one process: long-term rate and burst. The log accepts several
 * hundred a second from all processes together, and one process rarely has more than a few records to append.
 */
export const APPENDS_PER_SECOND = 10
export const APPEND_BURST = 5

/** Maximum number and total size of raw records buffered for peers that are behind. */
export const RAW_BUFFER_MAX_COUNT = 2_000
export const RAW_BUFFER_MAX_BYTES = 4 * 1024 * 1024

/** Maximum size of one answer to a peer: half of the largest message between processes. */
export const PEER_ANSWER_MAX_BYTES = 2 * 1024 * 1024

/** How long a snapshot made for one peer is reused for the rest of its requests and for other peers. */
export const PEER_SNAPSHOT_LIFETIME_MS = 30_000

/** Maximum size of records held back while a process waits for a snapshot that precedes them. */
export const PENDING_MAX_BYTES = 64 * 1024 * 1024

/** Offset of snapshot chunks that were made for a peer and never were in the log. */
export const NOT_IN_LOG = -1 as LogOffset
