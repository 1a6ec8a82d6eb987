import type { OpenWant, WantOutcome } from '../agents/types.js'
import type { RoutedRequest } from './types.js'

/** How a wait ended without what was waited for; it may be there after `retryAfterMs`. */
export interface RefusedWait {
  readonly type: 'late'
  readonly reason: string
  readonly retryAfterMs: number
}

/** What bounds a request's waits. */
export interface WaitBounds {
  /** Time after which a stopping router does not send it any more; Infinity while no stop was asked for. */
  readonly lastSendMs: () => number
  /** Time at which its caller gives up unless an event comes. */
  readonly callerLeavesMs: () => number
}

/** Waits for a want's end, and takes it back when the caller leaves. */
export const awaitWant = async (request: RoutedRequest, want: OpenWant): Promise<WantOutcome> => {
  const leave = (): void => want.drop('the caller left')
  request.callerLeft.addEventListener('abort', leave, { once: true })
  const outcome = await want.outcome
  request.callerLeft.removeEventListener('abort', leave)
  return outcome
}
