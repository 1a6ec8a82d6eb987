/** First pause before a link that broke is opened again; it doubles up to `LAST_REDIAL_MS`. */
export const MIN_RECONNECT_DELAY_MS = 200

/** Longest pause between tries to reach an agent that does not answer: a restarted one is heard of within a second. */
export const MAX_RECONNECT_DELAY_MS = 1_000

/** An agent whose server is no longer listed is given up after this time: lists lapse for seconds at times. */
export const UNLISTED_TIMEOUT_MS = 10_000

/**
 * Share of the agents that have told a starting router their engines' state before it calls itself ready. With half of them,
 * or with links that are open and have told nothing yet, two routers chose two engines for one burst and loaded a model twice.
 */
export const READY_AGENT_SHARE = 0.9

/**
 * An agent that was silent for this long has stood still or was cut off: what it passes on then may have waited there. Heartbeats
 * come up to one and a half of their period apart.
 */
export const DELAYED_AFTER_MS = 1_750

/** Time after such a silence in which what was held up comes out. */
export const STALE_DELIVERY_MS = 300

/** Agents through which a router passes on what it has read: two, in case one is down. */
export const RELAY_COUNT = 2
