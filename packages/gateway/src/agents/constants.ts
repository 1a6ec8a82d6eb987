/** Delay before a broken link is opened again; it doubles up to `MAX_RECONNECT_DELAY_MS`. */
export const MIN_RECONNECT_DELAY_MS = 200

/** Longest delay between attempts to connect to an agent: the link to a restarted agent is open within a second. */
export const MAX_RECONNECT_DELAY_MS = 1_000

/** The link to an agent is closed when its server was not listed for this long: entries may be missing for seconds. */
export const UNLISTED_TIMEOUT_MS = 10_000

/**
 * Share of the agents that must have sent their engines' state before a starting router reports ready. With half of them, or with open
 * links over which no state had arrived yet, two routers chose two engines for one burst and loaded a model twice.
 */
export const READY_AGENT_SHARE = 0.9

/**
 * An agent that sent nothing for this long was paused or cut off, so messages that it relays then may have been delayed there. Heartbeats
 * arrive up to one and a half heartbeat periods apart.
 */
export const DELAYED_AFTER_MS = 1_750

/** Time after such a silence in which delayed messages arrive. */
export const STALE_DELIVERY_MS = 300

/** Agents through which a router relays what it has read: two, in case one is down. */
export const RELAY_COUNT = 2
