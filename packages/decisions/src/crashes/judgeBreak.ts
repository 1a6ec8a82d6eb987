/** Result of a health check on a new connection, after a run at a server was broken off. */
export const ProbeResult = {
  /** The address refuses connections: nothing listens there. */
  Refused: 'refused',
  /** Another start answers at the address. */
  OtherServer: 'other_server',
  /** The same start answers. */
  Alive: 'alive',
  /** No answer, or one that names no server. */
  Unclear: 'unclear'
} as const

export type ProbeResult = typeof ProbeResult[keyof typeof ProbeResult]

/** What a router knows about a server that has broken off a run. */
export interface BreakView {
  /** Undefined until the first health check has ended. */
  readonly probe: ProbeResult | undefined
  /** The server was draining or unlisted for a while before the run was broken off. */
  readonly hasLeftInOrder: boolean
  /** The list or an agent shows a later start, or the end of this one. */
  readonly isReplaced: boolean
  /** The server has disappeared from the list, and not because of an outage of the store. */
  readonly isUnlisted: boolean
  /** Time since the run was broken off. */
  readonly ageMs: number
}

export const BreakVerdict = { Crash: 'crash', Harmless: 'harmless', Open: 'open' } as const

export type BreakVerdict = typeof BreakVerdict[keyof typeof BreakVerdict]

/** A server that died in silence has left the list, or another one has its address, by this time. */
export const MAX_BREAK_AGE_MS = 10_000

/**
 * Whether a broken run shows that its server has died.
 *
 * A broken connection alone proves nothing: servers reset connections and lose answers while they live, and leave in order.
 */
export const judgeBreak = ({ probe, hasLeftInOrder, isReplaced, isUnlisted, ageMs }: BreakView): BreakVerdict => {
  if (hasLeftInOrder || probe === ProbeResult.Alive) return BreakVerdict.Harmless
  if (isReplaced || probe === ProbeResult.Refused || probe === ProbeResult.OtherServer) return BreakVerdict.Crash
  if (isUnlisted) return BreakVerdict.Crash
  return ageMs < MAX_BREAK_AGE_MS ? BreakVerdict.Open : BreakVerdict.Harmless
}
