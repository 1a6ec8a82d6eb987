import { Framing } from '@figmount/base'

import { GatewayEvent } from '../events.js'
import { sendPieces } from '../streams/sendPieces.js'

import type { RawHeaders } from '@figmount/fleet'
import type { AnswerEnd, EndProof } from '../forwarding/framing.js'
import type { OpenAnswer } from '../forwarding/types.js'
import type { Hold } from '../memory/createHeldBytes.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** HTTP statuses of answers that the router itself gives. */
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

/** The system takes this much of an answer at once: the smallest send buffer that it gives a connection by default. */
const ONE_WRITE_BYTES = 16 * 1024

/** Long bodies are sent in pieces, so that it shows whether their callers read. */
const PIECE_BYTES = 64 * 1024

const isOpen = ({ response }: RoutedRequest): boolean => !response.headersSent && !response.destroyed

const elapsedMs = (context: GatewayContext, request: Pick<RoutedRequest, 'arrivedMs'>): number =>
  Math.round(context.timers.nowMs() - request.arrivedMs)

/** Refuses a request that has not run and will not, with a retry-after. Its units are returned to the organisation's quota. */
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

/** Fails a request that may have run. Once the answer's head was sent, closing the connection before the end of its framing marks it as incomplete. */
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

/** A server's answer that was read completely. */
export interface CompleteAnswer {
  readonly peer: string
  readonly status: number
  readonly headers: RawHeaders
  readonly body: Buffer
  /** The room that the body takes; undefined for a short one. */
  readonly hold?: Hold | undefined
  /** Length that the server announced; of an answer without a body, the length of what it stands for. */
  readonly announcedLength: string | undefined
  readonly end: AnswerEnd
}

/** Makes the answer to pass on from a server's open one, once its body was read and shown to be complete. */
export const completeAnswer = ({ codec }: GatewayContext, { message, framing }: OpenAnswer, { body, hold }: Pick<CompleteAnswer, 'body' | 'hold'>, proof: EndProof, peer: string): CompleteAnswer => ({
  peer,
  status: message.statusCode ?? 0,
  headers: codec.encodeAnswer(message.rawHeaders),
  body,
  hold,
  announcedLength: message.headers['content-length'],
  end: { framing, proof }
})

/**
 * How the end of an answer is marked for its caller.
 *
 * A server that lives may still have broken off its answer in the middle; that can't be told where the answer had no framing. A length from the
 * router would say that it is whole, so a short one ends with its connection as the server's did. The system takes it in one
 * write, so the end of the router's process cannot cut it. A longer one could be cut, and gets a length.
 */
const callerFramingOf = ({ response }: RoutedRequest, { body, end }: CompleteAnswer): Framing => {
  if (end.framing === Framing.NoBody) return Framing.NoBody
  const fitsOneWrite = body.length <= ONE_WRITE_BYTES && response.socket?.writableLength === 0
  return end.framing === Framing.Connection && fitsOneWrite ? Framing.Connection : Framing.Length
}

const cutIntoPieces = function * (body: Buffer): Generator<Buffer> {
  for (let start = 0; start < body.length; start += PIECE_BYTES) yield body.subarray(start, start + PIECE_BYTES)
}

/** Sends the caller a server's complete answer. */
export const sendAnswer = (context: GatewayContext, request: RoutedRequest, answer: CompleteAnswer): void => {
  const { peer, status, headers, body, hold, announcedLength, end } = answer
  const { response } = request
  const callerFraming = callerFramingOf(request, answer)
  noteAnswered(context, request, { peer, status, end, callerFraming })
  if (!isOpen(request)) return
  if (callerFraming === Framing.Connection) {
    response.shouldKeepAlive = false
    response.useChunkedEncodingByDefault = false
    response.writeHead(status, [...headers]).end(body)
    return
  }
  const length = callerFraming === Framing.NoBody ? announcedLength : String(body.length)
  response.writeHead(status, [...headers, ...(length === undefined ? [] : ['content-length', length])])
  hold?.onStalled(() => { response.destroy() })
  sendPieces(response, cutIntoPieces(body), () => hold?.moved())
}

/** What is logged of a complete answer. */
interface AnsweredNote {
  readonly peer: string
  readonly status: number
  readonly end: AnswerEnd
  readonly callerFraming: Framing
  /** Only of a stream. */
  readonly events?: StreamNote
}

/** What is logged of a stream's events. */
export interface StreamNote {
  /** Time from the request's arrival to the first event; undefined for a stream without events. */
  readonly firstEventMs: number | undefined
  readonly lastEventId: string
  readonly runStarts: readonly string[]
}

/** Logs and counts a complete answer. */
export const noteAnswered = (context: GatewayContext, request: RoutedRequest, { peer, status, end, callerFraming, events }: AnsweredNote): void => {
  const tookMs = context.timers.nowMs() - request.arrivedMs
  context.metrics.count('requests_answered_total')
  if (end.framing === Framing.Connection) context.metrics.count('answers_without_framing_total')
  context.metrics.observeMs('request_ms', tookMs)
  context.events.emit(GatewayEvent.requestAnswered, {
    requestKey: request.caller.requestId,
    peer,
    durationMs: Math.round(tookMs),
    waitMs: Math.round(events?.firstEventMs ?? tookMs),
    statusCode: status,
    framing: end.framing,
    callerFraming,
    endProof: end.proof,
    ...(events ? { lastEventId: events.lastEventId, runStarts: events.runStarts } : {})
  })
}

/** Logs that the caller left. `sentForMs`: time since the last send to a server that still had the request; undefined if none had it. */
export const noteCallerLeft = (context: GatewayContext, request: Pick<RoutedRequest, 'caller' | 'arrivedMs'>, sentForMs?: number): void => {
  context.metrics.count('requests_left_total')
  if (sentForMs === undefined) context.metrics.count('requests_left_unsent_total')
  context.events.emit(GatewayEvent.requestLeft, {
    requestKey: request.caller.requestId, waitMs: elapsedMs(context, request), ...(sentForMs === undefined ? {} : { sentForMs: Math.round(sentForMs) })
  })
}
