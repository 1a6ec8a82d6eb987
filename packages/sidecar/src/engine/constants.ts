/** Polling interval while no change is expected. A crash is noticed within it. */
export const POLL_MS = 100

/** Polling interval while the engine runs no requests and nothing is wanted of it: a crash then interrupts no request. */
export const IDLE_POLL_MS = 200

/** Shortest polling interval, used while an order is carried out; loading an adapter takes 5 ms. */
export const FAST_POLL_MS = 8

/** Polling interval as a share of the time until an expected change, or of the time that has passed since it was due. */
export const POLL_INTERVAL_RATIO = 0.25

/** Timeout of a report. It arrives within a few ms as the engine runs on the same machine; a busy machine takes longer. */
export const REPORT_TIMEOUT_MS = 300

/** Reports in a row that may be late copies of earlier ones. After so many the engine is what they say. */
export const MAX_OUTDATED_REPORTS = 2

/** Number of consecutive reports without an answer after which the engine counts as down. */
export const MISSED_REPORT_THRESHOLD = 2

/** Timeout of an order. The answer comes from the same machine within a few ms; an unnecessary repeat of an order is harmless. */
export const ORDER_TIMEOUT_MS = 200

/** Routers stop sending requests for a model this long before it is unloaded. Covers the delivery of one message and one request. */
export const UNLOAD_NOTICE_MS = 25

/** Longest time for which reports that do not count an accepted order yet are taken to have been read before it. */
export const STALE_REPORT_MS = 1_000

/** Delay before the next order after one that was refused or got no answer. */
export const ORDER_RETRY_MS = 30

/** Longest time after which an engine may still carry out an order that got no answer. */
export const LOST_ORDER_TTL_MS = 15_000
