import { Left, Right } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'

import { findMismatch } from '../forwarding/findMismatch.js'
import { sendToServer } from '../forwarding/sendToServer.js'
import { GatewayEvent } from '../events.js'
import { ANSWER_GRACE_MS, REQUEST_ARRIVAL_MS } from './constants.js'

import type { Either } from 'purify-ts'
import type { Fault } from '@figmount/base'
import type { KnownServer } from '../directory/types.js'
import type { OpenAnswer, SendFault } from '../forwarding/types.js'
import type { Arrival, TakenRetry } from '../retries/createRetryBudget.js'
import type { GatewayContext, RoutedRequest } from './types.js'

const STEP = 'requests.openExchange'

/** Ends an exchange with what is not the answer to its request: what has become of the request is unknown. */
const endMismatched = (context: GatewayContext, { caller }: RoutedRequest, peer: string, { abort, message }: OpenAnswer, reason: string): SendFault => {
  abort()
  context.metrics.count('mismatched_answers_total')
  context.events.emit(GatewayEvent.answerMismatched, { requestKey: caller.requestId, peer, reason, statusCode: message.statusCode ?? 0 })
  return { fault: makeFault(FaultKind.Conflict, STEP, peer, reason), mayHaveRun: true, isMismatched: true }
}

/** Takes what the answer to a request says of its server. */
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
  const { timers, codec, stop, reads } = context
  const chosenMs = timers.nowMs()
  if (reads.isLate()) await reads.pass(signal)
  if (signal.aborted) {
    retry?.noteArrival('none')
    return Left({ fault: makeFault(FaultKind.Timeout, STEP, server.entry.serverId, 'given up before it was sent'), mayHaveRun: false, isMismatched: false })
  }
  const sentMs = timers.nowMs()
  const leftMs = Math.max(1, Math.floor(request.untilMs - sentMs))
  const { serverId, address } = server.entry
  context.events.emit(GatewayEvent.requestSent, {
    requestKey: request.caller.requestId,
    peer: serverId,
    ageMs: Math.round(Math.min(sentMs - server.stateAsOfMs, Number.MAX_SAFE_INTEGER)),
    count: server.ownCount,
    waitMs: Math.round(sentMs - request.arrivedMs),
    readWaitMs: Math.round(sentMs - chosenMs),
    ...(stop.isAsked() ? { stopEndsInMs: Math.round(stop.lastRetryMs() - sentMs) } : {}),
    ...(lastEventId === '' ? {} : { lastEventId })
  })
  const forwarded = codec.encodeForward(request.headers, { serverId, deadlineMs: leftMs, priority: request.priority, organisationName: request.organisation?.name ?? '', lastEventId })
  const framing = request.body.length > 0 || request.method !== 'GET' ? ['Content-Length', String(request.body.length)] : []
  const noteThrown = ({ step, message }: Fault): void => {
    context.events.emit(GatewayEvent.listenerThrew, { requestKey: request.caller.requestId, peer: serverId, step, reason: message })
  }
  const sent = await sendToServer({ pool: context.pool, codec, timers, reads, noteThrown }, {
    requestId: request.caller.requestId,
    start: server.start,
    address,
    method: request.method,
    url: request.url,
    headers: [...forwarded, ...framing],
    body: request.body,
    headTimeoutMs: leftMs + ANSWER_GRACE_MS,
    mayBeInTransit: () => context.directory.lastMessageMs(address) < sentMs + REQUEST_ARRIVAL_MS
  }, signal)
  const opened = sent.chain(open => {
    const mismatch = findMismatch(request.caller.requestId, open.answer, open.message.statusCode ?? 0)
    return mismatch === undefined ? Right(open) : Left(endMismatched(context, request, serverId, open, mismatch))
  })
  retry?.noteArrival(arrivalOf(opened))
  return opened.ifRight(open => { noteServerAnswer(context, server, open) })
}
