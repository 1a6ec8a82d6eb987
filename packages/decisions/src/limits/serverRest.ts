/** A server that has asked this router for rest. */
export interface ServerRest {
  /** End of the rest. */
  readonly untilMs: number
  /** Until then the first request after the rest may be under way, and others wait for its answer. */
  readonly probeUntilMs: number
}

/** Longest rest that is granted: a server that asks for more is asked again after an hour. */
const MAX_REST_MS = 3_600_000

/** Longest time for which others wait for the answer to the first request after a rest. */
const PROBE_MS = 500

/** The rest after another answer that asks for one. A shorter one, or one that was sent earlier, does not shorten the rest. */
export const extendRest = (known: ServerRest | undefined, restMs: number, nowMs: number): ServerRest =>
  ({ untilMs: Math.max(known?.untilMs ?? -Infinity, nowMs + Math.min(restMs, MAX_REST_MS)), probeUntilMs: -Infinity })

/** Time until a request may be sent; 0 at once. */
export const restLeftMs = ({ untilMs, probeUntilMs }: ServerRest, nowMs: number): number => Math.max(0, untilMs - nowMs, probeUntilMs - nowMs)

/**
 * Probes the server with the first request after a rest.
 *
 * Load pattern: requests wait for the end of a rest. Sent all at once, they would be turned away together by a server that is not well
 * yet, and each would have used up a repeat.
 */
export const beginProbe = (rest: ServerRest, nowMs: number): ServerRest =>
  nowMs < rest.untilMs ? rest : { ...rest, probeUntilMs: nowMs + PROBE_MS }
