/** Time between reports while nothing is expected: a crash is noticed within it. */
export const POLL_MS = 100

/** The same while the engine runs nothing and nothing is asked of it: a crash then breaks nothing off. */
export const REST_POLL_MS = 200

/** Least time between reports while an order is carried out; an adapter takes 5 ms. */
export const FAST_POLL_MS = 8

/** Part of the time to what is expected, or since it was, that passes between two reports. */
export const POLL_DISTANCE_SHARE = 0.25

/** A report comes from the same machine within a few ms; a busy one takes longer. */
export const REPORT_TIMEOUT_MS = 300

/** Reports in a row without an answer after which the engine counts as down. */
export const SILENT_REPORTS = 2

/** An order is answered within a few ms by the same machine. One that is sent again in vain does no harm. */
export const ORDER_TIMEOUT_MS = 200

/** Routers stop sending requests for a model this long before it is unloaded: a message's way and a request's. */
export const LEAVE_NOTICE_MS = 25

/** Pause after an order that was refused or lost, before the next try. */
export const ORDER_RETRY_MS = 30

/** An order without an answer is carried out this late at most. */
export const STRAY_MS = 15_000
