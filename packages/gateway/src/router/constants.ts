/**
 * Minimum time between two reads of the list, by this router or another one, as a fraction of the time within which routers must stop
 * using a leaving server.
 */
export const LIST_AGE_SHARE = 0.4

/**
 * Fraction of that time over which routers spread their reads at random, so that the first read makes those of the others unnecessary. The
 * remainder covers a slow read and requests in transit.
 */
export const LIST_SPREAD_SHARE = 0.15

/** Time between two reports of demand: half the minimum time for which an idle model stays loaded. */
export const DEMAND_PERIOD_MS = 500

/** How often a router checks whether its requests for a model to be unloaded have ended: an idle model is unloaded in 80 ms. */
export const LEAVING_PERIOD_MS = 50

/** Time for which a starting router waits for nearly all agents before it reports ready without them. */
export const AGENT_READY_TIMEOUT_MS = 1_500

/** Time between two updates of the set of agents to connect to. */
export const FOLLOW_PERIOD_MS = 500

/** Time after a restart in which the agents that can be reached have reported: they may have restarted as well. */
export const COPIES_KNOWN_MS = 2_000

/** How often a router that relies on the agents for the configuration reviews whether it must read the store itself. */
export const DUTY_REVIEW_MS = 250
