import { sendToServer } from '../forwarding/sendToServer.js'
import { GatewayEvent } from '../events.js'
import { ANSWER_GRACE_MS, REQUEST_ARRIVAL_MS } from './constants.js'

import type { Either } from 'purify-ts'
import type { Fault } from '@figmount/base'
import type { KnownServer } from '../directory/types.js'
import type { OpenAnswer, SendFault } from '../forwarding/types.js'
import type { Arrival, TakenRetry } from '../retries/createRetryBudget.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** Takes what an answer says of its server, whichever request it answers. */
const noteServerAnswer = (context: GatewayContext, { start }: KnownServer, { answer, message }: OpenAnswer): void => {
  context.serverLimits.noteAnswer(start, answer, message.statusCode ?? 0)
  if (answer.isLeaving && context.directory.noteLeaving(start, 'its answers say that it leaves')) context.tellRouters({ type: 'serverLeaving', start })
}

const arrivalOf = (opened: Either<SendFault, OpenAnswer>): Arrival =>
  opened.caseOf({ Right: () => 'certain', Left: ({ mayHaveRun }) => mayHaveRun ? 'unknown' : 'none' })

/** Sends a request to one server with the time left until its deadline, and logs it. `retry`: undefined for the request's first send. */
export const openExchange = async (
  context: GatewayContext, request: RoutedRequest, server: KnownServer, lastEventId: string, retry: TakenRetry | undefined, signal: AbortSignal
): Promise<Either<SendFault, OpenAnswer>> => {
  const { timers, codec, stop } = context
  const sentMs = timers.nowMs()
  const leftMs = Math.max(1, Math.floor(request.untilMs - sentMs))
  const { serverId, address } = server.entry
  context.events.emit(GatewayEvent.requestSent, {
    requestKey: request.caller.requestId,
    peer: serverId,
    ageMs: Math.round(Math.min(timers.nowMs() - server.stateAsOfMs, Number.MAX_SAFE_INTEGER)),
    count: server.ownCount,
    waitMs: Math.round(timers.nowMs() - request.arrivedMs),
    ...(stop.isAsked() ? { stopEndsInMs: Math.round(stop.lastRetryMs() - sentMs) } : {}),
    ...(lastEventId === '' ? {} : { lastEventId })
  })
  const forwarded = codec.encodeForward(request.headers, { serverId, deadlineMs: leftMs, priority: request.priority, organisationName: request.organisation?.name ?? '', lastEventId })
  const framing = request.body.length > 0 || request.method !== 'GET' ? ['Content-Length', String(request.body.length)] : []
  const noteThrown = ({ step, message }: Fault): void => {
    context.events.emit(GatewayEvent.listenerThrew, { requestKey: request.caller.requestId, peer: serverId, step, reason: message })
  }
  const opened = await sendToServer({ pool: context.pool, codec, timers, noteThrown }, {
    start: server.start,
    address,
    method: request.method,
    url: request.url,
    headers: [...forwarded, ...framing],
    body: request.body,
    headTimeoutMs: leftMs + ANSWER_GRACE_MS,
    mayBeInTransit: () => context.directory.lastMessageMs(address) < sentMs + REQUEST_ARRIVAL_MS
  }, signal)
  retry?.noteArrival(arrivalOf(opened))
  return opened.ifRight(open => { noteServerAnswer(context, server, open) })
}

const isSuccess = ({ statusCode = 0 }: { readonly statusCode?: number | undefined }): boolean => statusCode >= 200 && statusCode < 300

/**
 * The answer is none to this request: a late one on a reused connection, one from another program's server, or a success without what each
 * success of a server bears, the request's id and a signature. What has become of the request is unknown.
 *
 * Guards against bytes that a server adds to a complete answer: they come where the answer to the next request is expected.
 */
export const isMismatchedAnswer = ({ caller }: RoutedRequest, { answer, message }: OpenAnswer): boolean => {
  if (isSuccess(message) && !answer.isSigned) return true
  if (answer.requestId === '') return isSuccess(message) && caller.requestId !== ''
  return answer.requestId !== caller.requestId
}
