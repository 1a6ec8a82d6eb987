/** Deaths of servers that ran one request, as far as a router knows. */
export interface CrashView {
  /** Starts of servers that died while they ran the request for its caller, none of whose runs was answered since. */
  readonly ownCount: number
  /** Callers whose requests with the same content were running as servers died, none of which was answered since. */
  readonly callerCount: number
  /** Starts that died so. */
  readonly startCount: number
  /** Another request without an answer was running at each of the request's own deaths, too: either may be the cause. */
  readonly isTied: boolean
  /** Time since the latest death under the request. */
  readonly sinceLastMs: number
}

/** Whether a request may be run, must wait, or is not run again because servers die of it. */
export type RequestVerdict =
  | { readonly type: 'run' }
  | { readonly type: 'wait', readonly waitMs: number }
  | { readonly type: 'deadly' }

/** Deaths of servers under one caller's request after which it is not run again. */
const MAX_CRASHES = 2

/** The same for a request that is tied with another one. */
const MAX_TIED_CRASHES = 4

/** Time after a death before a tied request is run again: an answer to it, at any router, ends the tie. */
const TIE_PAUSE_MS = 1_000

/** Callers under whose requests servers died after which the content itself counts as the cause. */
const MAX_CALLERS = 3

/**
 * Judges a request by the servers that died under it.
 *
 * One death proves nothing: any request may be running when a server dies. Requests with the same content of other callers are
 * not refused, unless servers died under several callers and none of them got an answer: a caller may reach the routers
 * from several addresses.
 */
export const judgeRequest = ({ ownCount, callerCount, startCount, isTied, sinceLastMs }: CrashView): RequestVerdict => {
  if (Math.min(callerCount, startCount) >= MAX_CALLERS) return { type: 'deadly' }
  if (ownCount < MAX_CRASHES) return { type: 'run' }
  if (!isTied || ownCount >= MAX_TIED_CRASHES) return { type: 'deadly' }
  return sinceLastMs < TIE_PAUSE_MS ? { type: 'wait', waitMs: TIE_PAUSE_MS - sinceLastMs } : { type: 'run' }
}
