/**
 * Time constant of the decay of measured demand: short enough to follow demand that moves within 5 s, long enough that a pause
 * of a second does not count as its end. Routers and agents must use the same constant: a router reports a model only when it has
 * new requests, and agents let the reported demand decay in between.
 */
export const DEMAND_DECAY_MS = 4_000

/** Fraction of a rate that is left after a time without requests. */
export const decayDemand = (elapsedMs: number): number => Math.exp(-Math.max(0, elapsedMs) / DEMAND_DECAY_MS)
