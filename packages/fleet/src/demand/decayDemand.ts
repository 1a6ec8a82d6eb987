/**
 * Memory of the demand's meters: demand that moves within 5 s is followed, and a pause of a second is not taken for its end.
 * Routers and agents must decay alike: a router tells of a model only when there are new requests for it.
 */
export const DEMAND_MEMORY_MS = 4_000

/** Part of a rate that is left after a time without requests. */
export const decayDemand = (elapsedMs: number): number => Math.exp(-Math.max(0, elapsedMs) / DEMAND_MEMORY_MS)
