import type { OpenWant, WantOutcome } from '../agents/types.js'
import type { RoutedRequest } from './types.js'

/** A wait that ended in a refusal; a retry may succeed after `retryAfterMs`. */
export interface RefusedWait {
  readonly type: 'late'
  readonly reason: string
  readonly retryAfterMs: number
}

/** The limits of a request's waits. */
export interface WaitBounds {
  /** Time after which a stopping router no longer sends the request; Infinity until a stop is requested. */
  readonly lastSendMs: () => number
  /** Time at which the caller gives up unless an event arrives. */
  readonly callerLeavesMs: () => number
}

/** Waits for the outcome of a want, and withdraws it when the caller leaves. */
export const awaitWant = async (request: RoutedRequest, want: OpenWant): Promise<WantOutcome> => {
  const leave = (): void => want.drop('the caller left')
  request.callerLeft.addEventListener('abort', leave, { once: true })
  const outcome = await want.outcome
  request.callerLeft.removeEventListener('abort', leave)
  return outcome
}
