import { GatewayEvent } from '../events.js'

import type { ServerResponse } from 'node:http'
import type { RawHeaders } from '@figmount/fleet'
import type { GatewayContext, RoutedRequest } from './types.js'

/** HTTP status of an ending of figmount's own. */
export const Status = {
  BadRequest: 400,
  Unauthorized: 401,
  NotFound: 404,
  TooLarge: 413,
  TooManyRequests: 429,
  HeadersTooLarge: 431,
  BadGateway: 502,
  Unavailable: 503,
  GatewayTimeout: 504
} as const

const isOpen = ({ response }: RoutedRequest): boolean => !response.headersSent && !response.destroyed

const elapsedMs = (context: GatewayContext, request: RoutedRequest): number =>
  Math.round(context.timers.nowMs() - request.arrivedMs)

/** Refuses a request that has not run and never will, and tells when to come back. Its units are free for another one. */
export const refuse = (context: GatewayContext, request: RoutedRequest, reason: string, retryAfterMs: number): void => {
  if (request.organisation) context.quotas.refund(request.organisation, request.units)
  context.metrics.count('requests_refused_total')
  context.events.emit(GatewayEvent.requestRefused, {
    requestKey: request.caller.requestId, reason, retryAfterMs: Math.round(retryAfterMs), waitMs: elapsedMs(context, request)
  })
  if (!isOpen(request)) return
  request.response.writeHead(Status.Unavailable, [...context.codec.encodeRefusal(request.caller.requestId, retryAfterMs)])
  request.response.end()
}

/** Ends a request that may have run. After the answer's head went out, only breaking off shows that it is not whole. */
export const fail = (context: GatewayContext, request: RoutedRequest, reason: string, peer: string): void => {
  const isLate = context.timers.nowMs() >= request.untilMs
  context.metrics.count('requests_failed_total')
  context.events.emit(GatewayEvent.requestFailed, { requestKey: request.caller.requestId, reason, peer, waitMs: elapsedMs(context, request) })
  if (!isOpen(request)) {
    request.response.destroy()
    return
  }
  request.response.writeHead(isLate ? Status.GatewayTimeout : Status.BadGateway, { 'content-length': 0 })
  request.response.end()
}

/**
 * Has the answer end with its connection, as the server's did.
 *
 * Guards against an answer without a length that broke off: a connection that is closed after half of it looks like one
 * that was closed after the whole. With a length of figmount's own the half would look complete for certain; passed on as
 * it came, the caller knows as much as figmount does.
 */
export const delimitByClose = ({ response }: RoutedRequest): void => {
  response.shouldKeepAlive = false
  response.useChunkedEncodingByDefault = false
}

/**
 * Ends an answer once the system has taken its bytes.
 *
 * Guards against a caller that reads slowly: Node takes a connection for idle as soon as its answer is ended, and a
 * router that stops would close it with the rest unsent.
 */
export const endAfterDrain = (response: ServerResponse): void => {
  if (response.writableNeedDrain) response.once('drain', () => response.end())
  else response.end()
}

/** Gives the caller a server's answer that was read whole. */
export const sendAnswer = (
  context: GatewayContext, request: RoutedRequest, status: number, headers: RawHeaders, body: Buffer, peer: string, isFramed: boolean
): void => {
  noteAnswered(context, request, peer, status)
  if (!isOpen(request)) return
  if (!isFramed) delimitByClose(request)
  request.response.writeHead(status, [...headers, ...(isFramed ? ['content-length', String(body.length)] : [])])
  request.response.write(body)
  endAfterDrain(request.response)
}

/** Logs and counts an answer that was given whole; `firstEventMs` is the time from arrival to a stream's first event. */
export const noteAnswered = (context: GatewayContext, request: RoutedRequest, peer: string, status: number, firstEventMs?: number): void => {
  const tookMs = context.timers.nowMs() - request.arrivedMs
  context.metrics.count('requests_answered_total')
  context.metrics.observeMs('request_ms', tookMs)
  context.events.emit(GatewayEvent.requestAnswered, { requestKey: request.caller.requestId, peer, durationMs: Math.round(tookMs), waitMs: Math.round(firstEventMs ?? tookMs), statusCode: status })
}

/** Logs that the caller left. */
export const noteCallerLeft = (context: GatewayContext, request: RoutedRequest): void => {
  context.metrics.count('requests_left_total')
  context.events.emit(GatewayEvent.requestLeft, { requestKey: request.caller.requestId, waitMs: elapsedMs(context, request) })
}
