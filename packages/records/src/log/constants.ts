import { MAX_BODY_LENGTH } from '../config/parseBody.js'

import type { LogOffset } from '@figmount/base'

/** Largest payload of one record. Grounds: a full item's body and its envelope. */
export const MAX_PAYLOAD_BYTES = 4 * 1024 * 1024

/** Largest body after inflating: every character of the longest body in four bytes of UTF-8. */
export const MAX_BODY_BYTES = 4 * MAX_BODY_LENGTH

/** How long a read waits at the log for a new record. */
export const READ_WAIT_MS = 1_000

/** What a read may take beyond its wait before its connection counts as dead. */
export const READ_SLACK_MS = 1_500

/**
 * Shortest time from one read to the next. Grounds: while hundreds of records a second are appended
 * each long poll returns with one of them; every process would then read hundreds of times a second.
 */
export const READ_GAP_MS = 50

/** Records asked for with one read. */
export const READ_MAX_COUNT = 500

/** First and longest pause between failed reads or appends; each is drawn from half of it up. */
export const BACKOFF_FIRST_MS = 100
export const BACKOFF_LONGEST_MS = 2_000

/** Deadline of one append call, after which its outcome is unknown. */
export const APPEND_CALL_MS = 1_500

/** Time from `append` to its answer or its fault. */
export const APPEND_DEADLINE_MS = 6_000

/** Records and bytes in one append call. */
export const BATCH_MAX_COUNT = 256
export const BATCH_MAX_BYTES = 1024 * 1024

/** Own records whose outcome is kept for a writer that asks again under the same id. */
export const OUTCOMES_KEPT = 1_000

/** Records that may wait for an append; more are refused at once. */
export const APPEND_QUEUE_LIMIT = 4_000

/**
 * Append calls of one process a second, in the long run and at once. Grounds: the log takes
 * several hundred a second in all, and no process has more than a few things to say.
 */
export const APPENDS_PER_SECOND = 10
export const APPEND_BURST = 5

/** Raw records kept for peers that are behind, by count and by bytes. */
export const RECENT_RAW_COUNT = 2_000
export const RECENT_RAW_BYTES = 4 * 1024 * 1024

/** Bytes handed to a peer with one answer: half of the largest message between processes. */
export const OFFER_MAX_BYTES = 2 * 1024 * 1024

/** How long a snapshot that was made for a peer serves others and the rest of that peer's asks. */
export const PEER_SNAPSHOT_MS = 30_000

/** Records kept while a process waits for a snapshot to put them on. */
export const PENDING_MAX_BYTES = 64 * 1024 * 1024

/** Offset of a snapshot's chunk that was made for a peer and never was in the log. */
export const NOT_IN_LOG = -1 as LogOffset
