import type { OpenWant, WantOutcome } from '../agents/types.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** How a wait ended without what was waited for; it may be there after `retryAfterMs`. */
export interface LateWait {
  readonly type: 'late'
  readonly reason: string
  readonly retryAfterMs: number
}

/** Time that a request's caller still waits for its first event. */
export const patienceLeftMs = (context: GatewayContext, { untilMs, arrivedMs, route }: RoutedRequest): number =>
  Math.min(untilMs, arrivedMs + route.patienceMs) - context.timers.nowMs()

/** Waits for a want's end, and takes it back when the caller leaves. */
export const awaitWant = async (request: RoutedRequest, want: OpenWant): Promise<WantOutcome> => {
  const leave = (): void => want.drop('the caller left')
  request.left.addEventListener('abort', leave, { once: true })
  const outcome = await want.outcome
  request.left.removeEventListener('abort', leave)
  return outcome
}
