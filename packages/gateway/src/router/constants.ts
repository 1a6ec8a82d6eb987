/**
 * How long a router's read of the configuration waits at the store. A change ends the wait at once; where its answer does
 * not come, after an outage or on a dead connection, the router is behind for this long. With 25 s a router that had started
 * in an outage of the store still served by the old configuration 9 s after the change.
 */
export const CONFIG_WAIT_MS = 2_000

/** Time between two messages on demand: half the time that an idle model stays at least. */
export const DEMAND_PERIOD_MS = 500

/** A starting router waits this long for nearly all agents before it calls itself ready without them. */
export const AGENT_PATIENCE_MS = 1_500

/** Time between two looks at which agents to be linked to. */
export const FOLLOW_PERIOD_MS = 500

/** Routers that are assumed until agents tell of more: the repeats that all may send are split by it. */
export const LEAST_ROUTER_COUNT = 4

/** After a stop was asked for, connections stay open this long: the balancer notices within two of its questions, a second apart. */
export const LAME_DUCK_MS = 3_000

/** Time between two looks whether a stopping router is empty. */
export const DRAIN_LOOK_MS = 50

/** The last part of the time that a stop may take is kept for its end. */
export const DRAIN_MARGIN_MS = 400
