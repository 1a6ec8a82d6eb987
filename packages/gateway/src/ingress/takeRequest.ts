import { createHash } from 'node:crypto'
import { findEngine, pickService, RequestKind } from '@figmount/fleet'

import { shortHash } from '../crashes/shortHash.js'
import { GatewayEvent } from '../events.js'
import { STOPPING_REASON, STOPPING_RETRY_MS, NO_DEPLOYMENT_RETRY_MS, OVERLOAD_RETRY_MS, REJECTED_RETRY_MS } from '../requests/constants.js'
import { organisationOf, isKeyRequired, unitsOf } from '../limits/organisationOf.js'
import { takeQuota } from '../limits/takeQuota.js'
import { noteCallerLeft, Status } from '../requests/endRequest.js'
import { serveModel } from '../requests/serveModel.js'
import { servePlain } from '../requests/servePlain.js'
import { MAX_BODY_MS } from './constants.js'
import { onceClosed } from './onceClosed.js'
import { readBody } from './readBody.js'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BodyShare } from '../memory/createBodyRoom.js'
import type { CallerRequest, Deployment, Organisation, RequestIdentity, Route } from '@figmount/fleet'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'

const identify = (message: IncomingMessage, body: Buffer, organisation: Organisation | undefined): RequestIdentity => ({
  contentHash: createHash('sha1').update(`${message.headers.host ?? ''} ${message.url ?? ''}\n`).update(body).digest('base64'),
  callerId: `${organisation?.name ?? ''}@${message.socket.remoteAddress ?? ''}`
})

const headerBytesOf = (message: IncomingMessage): number => {
  let bytes = 0
  for (const text of message.rawHeaders) bytes += text.length + 2
  return bytes
}

const reject = (context: GatewayContext, response: ServerResponse, status: number, reason: string): void => {
  context.metrics.count('requests_rejected_total')
  context.events.emit(GatewayEvent.requestMalformed, { statusCode: status, reason })
  if (response.headersSent || response.destroyed) return
  response.writeHead(status, { 'content-length': 0 })
  response.end()
}

/** Refuses a request before it is matched to a route. */
const refuseUnrouted = (context: GatewayContext, response: ServerResponse, requestId: string, reason: string, retryAfterMs: number): void => {
  context.metrics.count('requests_refused_total')
  context.events.emit(GatewayEvent.requestRefused, { requestKey: requestId, reason, retryAfterMs })
  if (response.destroyed) return
  response.writeHead(Status.Unavailable, [...context.codec.encodeRefusal(requestId, retryAfterMs)])
  response.end()
}

/** Rejects a request whose key belongs to no organisation of the configuration in force. The key itself is not logged. */
const refuseKey = (context: GatewayContext, response: ServerResponse, caller: CallerRequest, route: Route): void => {
  context.metrics.count('requests_unauthorized_total')
  context.events.emit(GatewayEvent.keyUnknown, { requestKey: caller.requestId, item: route.name, reason: caller.keyDigest === '' ? 'no key' : 'unknown key' })
  if (response.destroyed) return
  response.writeHead(Status.Unauthorized, { 'content-length': 0 })
  response.end()
}

const watchCallerLeft = (message: IncomingMessage, response: ServerResponse, share: BodyShare): AbortSignal => {
  const leaving = new AbortController()
  onceClosed(message, response, () => {
    share.end()
    if (!response.writableFinished) leaving.abort()
  })
  return leaving.signal
}

/** A request that was read completely. */
interface ReadRequest {
  readonly caller: CallerRequest
  readonly message: IncomingMessage
  readonly response: ServerResponse
  readonly body: Buffer
  readonly arrivedMs: number
  /** Time for which it has waited until connections had been read again. */
  readonly readWaitMs: number
  readonly callerLeft: AbortSignal
}

const serve = async (context: GatewayContext, deployment: Deployment, route: Route, read: ReadRequest): Promise<void> => {
  const { caller, message, response, body, arrivedMs, readWaitMs, callerLeft } = read
  const serviceName = pickService(route, context.random()) ?? ''
  const organisation = organisationOf(deployment, route, caller)
  const deadlineMs = caller.deadlineMs ?? route.timeoutMs
  const request: RoutedRequest = {
    caller,
    route,
    serviceName,
    organisation,
    units: organisation?.limit ? unitsOf(organisation.limit, caller) : 0,
    priority: organisation?.priority ?? route.priority,
    method: message.method ?? 'GET',
    url: message.url ?? '/',
    headers: message.rawHeaders,
    body,
    arrivedMs,
    untilMs: arrivedMs + Math.min(deadlineMs, route.timeoutMs),
    response,
    callerLeft,
    identity: identify(message, body, organisation)
  }
  context.metrics.count('requests_total')
  context.events.emit(GatewayEvent.requestTaken, {
    requestKey: caller.requestId,
    requestHash: shortHash(request.identity),
    item: route.name,
    service: serviceName,
    model: caller.modelName,
    adapter: caller.adapterName,
    ...(organisation ? { organisation: organisation.name } : {}),
    version: String(deployment.version),
    tokenCount: caller.promptTokens,
    ...(caller.lastEventId === '' ? {} : { lastEventId: caller.lastEventId }),
    waitMs: Math.round(request.untilMs - arrivedMs),
    readWaitMs: Math.round(readWaitMs)
  })
  if (organisation && !await takeQuota(context, request, organisation)) return
  context.budget.noteRequest(serviceName)
  const isModel = findEngine(deployment, serviceName) !== undefined
  if (isModel && route.kind === RequestKind.Stream) return await serveModel(context, request)
  await servePlain(context, request)
}

/** Takes one request from a caller and answers it when its turn on its connection has come; its time counts from its arrival. */
export const takeRequest = async (context: GatewayContext, message: IncomingMessage, response: ServerResponse, turn: Promise<boolean>, arrivedMs: number): Promise<void> => {
  const share = context.bodyRoom.open()
  const callerLeft = watchCallerLeft(message, response, share)
  const limits = context.deployment()?.limits
  const isHeadTooLong = limits !== undefined && headerBytesOf(message) > limits.headerBytes
  const decoded = context.codec.decodeRequest(message.rawHeaders)
  const leftMs = decoded.map(({ deadlineMs = MAX_BODY_MS }) => Math.min(deadlineMs, MAX_BODY_MS)).orDefault(MAX_BODY_MS)
  // Read while it waits: Node notices that a caller has left only while it reads the connection.
  const reading = isHeadTooLong ? undefined : readBody(message, { maxBytes: limits?.bodyBytes ?? Infinity, leftMs, share, stop: context.stop, timers: context.timers })
  if (!await turn) {
    context.metrics.count('requests_never_run_total')
    return
  }
  if (!reading) return reject(context, response, Status.HeadersTooLarge, 'headers too large')
  const read = await reading
  if (read.type === 'brokenOff') return
  // What is left of the body is not read any more.
  if (read.type !== 'whole' && read.type !== 'stopped') response.shouldKeepAlive = false
  if (read.type === 'tooLarge') return reject(context, response, Status.TooLarge, 'body too large')
  if (read.type === 'tinyChunks') return reject(context, response, Status.TooLarge, 'body in too many short chunks')
  if (decoded.isLeft()) return reject(context, response, Status.BadRequest, decoded.swap().unsafeCoerce().message)
  const caller = decoded.unsafeCoerce()
  if (read.type === 'noRoom') return refuseUnrouted(context, response, caller.requestId, 'no room for its body', OVERLOAD_RETRY_MS)
  if (read.type === 'late') return refuseUnrouted(context, response, caller.requestId, 'its body did not come in time', REJECTED_RETRY_MS)
  if (read.type === 'stopped' || context.stop.isClosing()) return refuseUnrouted(context, response, caller.requestId, STOPPING_REASON, STOPPING_RETRY_MS)
  // Guards against work for a caller that has left: the end of its connection may lie unread behind the request.
  const readMs = context.timers.nowMs()
  await context.reads.pass(callerLeft)
  const readWaitMs = context.timers.nowMs() - readMs
  if (callerLeft.aborted) return noteCallerLeft(context, { caller, arrivedMs })
  const deployment = context.deployment()
  if (!deployment || !context.directory.hasList()) return refuseUnrouted(context, response, caller.requestId, 'no deployment known yet', NO_DEPLOYMENT_RETRY_MS)
  const route = deployment.routeTable.find(message.headers.host ?? '', message.url ?? '/')
  if (!route) return reject(context, response, Status.NotFound, `no route for ${message.headers.host ?? ''}${message.url ?? ''}`)
  if (isKeyRequired(deployment, route) && !organisationOf(deployment, route, caller)) return refuseKey(context, response, caller, route)
  await serve(context, deployment, route, { caller, message, response, body: read.body, arrivedMs, readWaitMs, callerLeft })
}
