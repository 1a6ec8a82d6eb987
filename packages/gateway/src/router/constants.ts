/**
 * Part of the time within which a leaving server must be left alone that passes at least between two reads of the list, by
 * this router or another one.
 */
export const LIST_AGE_SHARE = 0.4

/**
 * The rest of that time in which a router reads the list at a moment of its own, so that the first one spares the others
 * their reads. What is left then is for a slow read and for requests on their way.
 */
export const LIST_SPREAD_SHARE = 0.15

/** Time between two messages on demand: half the time that an idle model stays at least. */
export const DEMAND_PERIOD_MS = 500

/** Time between two looks whether requests for a model that is about to go have ended: an idle model is unloaded in 80 ms. */
export const LEAVING_PERIOD_MS = 50

/** A starting router waits this long for nearly all agents before it calls itself ready without them. */
export const AGENT_READY_TIMEOUT_MS = 1_500

/** Time between two looks at which agents to be linked to. */
export const FOLLOW_PERIOD_MS = 500

/** Routers that are assumed until agents tell of more: the repeats that all may send are split by it. */
export const MIN_ROUTER_COUNT = 4
