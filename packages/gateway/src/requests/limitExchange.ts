import type { GatewayContext, RoutedRequest } from './types.js'

/** The time limit of one exchange with a server. */
export interface ExchangeLimit {
  /** Aborts when the exchange must end. */
  readonly signal: AbortSignal
  /** Aborts the exchange at once. */
  readonly cut: () => void
  readonly release: () => void
}

/**
 * Aborts an exchange when the caller leaves, `graceMs` after the request's deadline, and at the end of the router's stop.
 *
 * Guards against a server that stops sending, before its answer or in the middle of it: the caller would wait until it times out, or
 * lose its connection without an answer when the router stops.
 */
export const limitExchange = (context: GatewayContext, request: RoutedRequest, graceMs: number): ExchangeLimit => {
  const aborting = new AbortController()
  const cut = (): void => aborting.abort()
  const stopTimer = context.timers.after(Math.max(0, request.untilMs + graceMs - context.timers.nowMs()), cut)
  const unsubscribe = context.stop.onEnded(cut)
  if (request.callerLeft.aborted) cut()
  request.callerLeft.addEventListener('abort', cut, { once: true })
  return {
    signal: aborting.signal,
    cut,
    release: () => {
      stopTimer()
      unsubscribe()
      request.callerLeft.removeEventListener('abort', cut)
    }
  }
}
