/** A server answers at the deadline that it was given; its answer needs this long to arrive. */
export const ANSWER_GRACE_MS = 150

/** With less time than this left nothing can be served: a message to a server and back takes 2 to 8 ms. */
export const MIN_SERVE_MS = 20

/** Come-back time while a router knows no deployment yet: it starts within a second. */
export const NO_DEPLOYMENT_RETRY_MS = 500

/** Why a router that stops refuses or ends a request. */
export const STOPPING_REASON = 'the router stops'

/** Come-back time at a router that stops: the caller's next connection reaches another one. */
export const STOPPING_RETRY_MS = 50

/** Come-back time when all servers turned a request away: their queues move within this time. */
export const REJECTED_RETRY_MS = 300

/**
 * Least come-back time when the engines with a model are full, and the time over which callers are spread beyond it: a replica that
 * relieves them is loaded within a second where a copy lies elsewhere.
 */
export const OVERLOAD_RETRY_MS = 1_000

/** Come-back time while no server of a service is known: a crashed one is back after seconds. */
export const NO_SERVER_RETRY_MS = 1_000

/** Time for an agent to put an adapter in place once its engine takes orders: it is fetched in 5 to 10 ms, under a rush in ten times that. */
export const ADAPTER_WAIT_MS = 1_500

/** Sends of one request that servers turned away, after which it is refused: each costs time and a repeat. */
export const MAX_REJECTIONS = 4

/** Engines that may go away while they load one request's model before it is refused. */
export const MAX_LOST_LOADS = 2

/** Time between two looks whether the server of a resumable stream is still alive, by its agent's word. */
export const DEATH_CHECK_PERIOD_MS = 100

/** Crashes of servers by one request after which it is not run again. */
export const MAX_CRASHES = 2

/**
 * An agent that is heard this long after a request was sent to its engine shows that the request has got there: a new
 * connection takes a round trip more, and the agent's word one way.
 */
export const REQUEST_ARRIVAL_MS = 50
