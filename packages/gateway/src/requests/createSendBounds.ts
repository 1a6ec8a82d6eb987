import type { GatewayContext, RoutedRequest } from './types.js'

/** Until when one request may be sent to a server. */
export interface SendBounds {
  /** Time after which the router's stop leaves no time for an answer; Infinity until a stop is requested. */
  readonly lastSendMs: () => number
  /** The stop ends the time in which the request may be sent, not its caller. */
  readonly stopsFirst: () => boolean
  readonly leftToSendMs: () => number
}

interface Options {
  /** A server has run the request: refusing it would not be true any more. */
  readonly hasRun: () => boolean
  readonly callerLeavesMs: () => number
}

/** Creates the bounds of one request. */
export const createSendBounds = ({ timers, stop }: GatewayContext, request: RoutedRequest, { hasRun, callerLeavesMs }: Options): SendBounds => {
  const lastSendMs = (): number =>
    hasRun() ? stop.lastRetryMs() : stop.lastSendMs(request.route.objectiveMs, () => stop.answers.expectedMs(request))
  const stopsFirst = (): boolean => !hasRun() && lastSendMs() < callerLeavesMs()
  return { lastSendMs, stopsFirst, leftToSendMs: () => (stopsFirst() ? lastSendMs() : callerLeavesMs()) - timers.nowMs() }
}
