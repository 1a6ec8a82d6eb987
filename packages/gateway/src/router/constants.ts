/**
 * How long a router's read of the configuration waits at the store. A change ends the wait at once; where its answer does
 * not come, after an outage or on a dead connection, the router learns of the change from an agent that is ahead. Waits of
 * 2 s were a third of the calls to the store; longer ones than this save little more.
 */
export const CONFIG_WAIT_MS = 8_000

/**
 * Part of the time within which a leaving server must be left alone that passes between two reads of the list. The rest is
 * for a slow read and for requests on their way.
 */
export const POLL_SHARE = 0.6

/** Time between two messages on demand: half the time that an idle model stays at least. */
export const DEMAND_PERIOD_MS = 500

/** Time between two looks whether requests for a model that is about to go have ended: an idle model is unloaded in 80 ms. */
export const LEAVING_PERIOD_MS = 50

/** A starting router waits this long for nearly all agents before it calls itself ready without them. */
export const AGENT_PATIENCE_MS = 1_500

/** Time between two looks at which agents to be linked to. */
export const FOLLOW_PERIOD_MS = 500

/** Routers that are assumed until agents tell of more: the repeats that all may send are split by it. */
export const LEAST_ROUTER_COUNT = 4
