/** Deaths of servers that ran one request, as far as a router knows. */
export interface CrashView {
  /** Starts of servers that died while they ran the request for its caller, none of whose runs was answered since. */
  readonly ownCount: number
  /** Callers whose requests with the same content were running as servers died, none of which was answered since. */
  readonly callerCount: number
  /** Starts that died so. */
  readonly startCount: number
}

/** Deaths of servers under one caller's request after which it is not run again. */
const MAX_CRASHES = 2

/** Callers under whose requests servers died after which the content itself counts as the cause. */
const MAX_CALLERS = 3

/**
 * Whether a request is not run again because servers die of it.
 *
 * One death proves nothing: any request may be running when a server dies. Requests with the same content of other callers are
 * not refused, unless servers died under several callers and none of them got an answer: a caller may reach the routers
 * from several addresses.
 */
export const isDeadly = ({ ownCount, callerCount, startCount }: CrashView): boolean =>
  ownCount >= MAX_CRASHES || Math.min(callerCount, startCount) >= MAX_CALLERS
