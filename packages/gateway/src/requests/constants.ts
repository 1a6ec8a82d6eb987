/** Time past a request's deadline for which its answer is awaited. Servers answer by the deadline; this covers the answer's way back. */
export const ANSWER_GRACE_MS = 150

/** A request with less time left is not sent: the round trip to a server alone takes 2 to 8 ms. */
export const MIN_SERVE_MS = 20

/** Retry-after while a router has no deployment yet: it gets one within a second of its start. */
export const NO_DEPLOYMENT_RETRY_MS = 500

/** Reason with which a stopping router refuses or ends a request. */
export const STOPPING_REASON = 'the router stops'

/** Retry-after at a stopping router: the caller's next connection reaches another router. */
export const STOPPING_RETRY_MS = 50

/** Retry-after when all servers rejected a request: their queues advance within this time. */
export const REJECTED_RETRY_MS = 300

/**
 * Minimum retry-after when all engines with a model are full, and the maximum of the jitter added to it. Where another engine has a
 * copy of the weights, an additional replica is loaded within a second.
 */
export const OVERLOAD_RETRY_MS = 1_000

/** Retry-after while a service has no known server: a crashed server is back within seconds. */
export const NO_SERVER_RETRY_MS = 1_000

/** Retry-after of a stream that is taken up again and of which no agent answers: links to others are open within a second. */
export const UNKNOWN_ORIGIN_RETRY_MS = 500

/** Time limit for an agent to load an adapter once its engine accepts orders: a fetch takes 5 to 10 ms, ten times that under a burst. */
export const ADAPTER_WAIT_MS = 1_500

/** Rejections by servers after which a request is refused: each one costs time and a retry. */
export const MAX_REJECTIONS = 4

/** Engines that may go down while they load one request's model before the request is refused. */
export const MAX_LOST_LOADS = 2

/**
 * A message from an agent this long after a request was sent to its engine proves that the instance was reachable, so the request has
 * arrived: a new connection takes one more round trip, and the agent's message takes one way.
 */
export const REQUEST_ARRIVAL_MS = 50

/** Models that may wait for the weight store beside those that it loads. Callers have left before a longer queue ends. */
export const MAX_QUEUED_COLD_LOADS = 2

/** Time after which a caller retries whose model may have a copy on an engine that has not reported yet. */
export const UNKNOWN_COPIES_RETRY_MS = 500
