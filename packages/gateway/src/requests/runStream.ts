import { endOf } from '../forwarding/framing.js'
import { hasFraming } from '../forwarding/isComplete.js'
import { readAnswer } from '../forwarding/readAnswer.js'
import { relayEvents } from '../streams/relayEvents.js'
import { sendAnswer } from './endRequest.js'
import { isMismatchedAnswer, openExchange } from './openExchange.js'

import type { KnownServer } from '../directory/types.js'
import type { AnswerEnd } from '../forwarding/framing.js'
import type { OpenAnswer } from '../forwarding/types.js'
import type { TakenRetry } from '../retries/createRetryBudget.js'
import type { CallerStream } from './createCallerStream.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** How one run of a stream ended. */
export type RunEnd =
  /** The server has sent the whole stream; the caller's answer is not ended yet. */
  | { readonly type: 'finished', readonly answerEnd: AnswerEnd }
  /** The caller got a complete answer of the server that is not a stream. */
  | { readonly type: 'answered' }
  /** The server reports that it has not run the request, or nothing was sent. */
  | { readonly type: 'notRun', readonly reason: string, readonly isMisdirected: boolean }
  | { readonly type: 'broken', readonly reason: string }

const OK = 200
const MISDIRECTED = 421

const relay = async (context: GatewayContext, request: RoutedRequest, stream: CallerStream, open: OpenAnswer, noteEvent: () => void): Promise<RunEnd> => {
  stream.open(open.message.statusCode ?? OK, context.codec.encodeAnswer(open.message.rawHeaders), hasFraming(open.message))
  const end = await relayEvents({
    answer: open,
    timers: context.timers,
    take: event => {
      noteEvent()
      return stream.take(event)
    },
    onceDrained: stream.onceDrained,
    silenceMs: request.route.patienceMs
  })
  if (end.isWhole && !stream.mayEnd()) return { type: 'broken', reason: 'ended before an event that the caller has' }
  return end.isWhole ? { type: 'finished', answerEnd: endOf(open.message) } : { type: 'broken', reason: end.reason }
}

/** Runs a stream on one server and forwards its events. */
export const runStream = async (
  context: GatewayContext, request: RoutedRequest, server: KnownServer, stream: CallerStream, retry: TakenRetry | undefined, signal: AbortSignal, noteEvent: () => void
): Promise<RunEnd> => {
  const { serverId } = server.entry
  const opened = await openExchange(context, request, server, stream.lastEventId(), retry, signal)
  if (opened.isLeft()) {
    const { fault, mayHaveRun } = opened.swap().unsafeCoerce()
    if (mayHaveRun) return { type: 'broken', reason: fault.message }
    return { type: 'notRun', reason: fault.message, isMisdirected: false }
  }
  const open = opened.unsafeCoerce()
  const status = open.message.statusCode ?? 0
  if (isMismatchedAnswer(request, open)) {
    open.abort()
    return { type: 'broken', reason: 'answer to another request' }
  }
  if (status === OK && !open.answer.isNotRun) return await relay(context, request, stream, open, noteEvent)
  const read = await readAnswer(open, serverId)
  if (status === MISDIRECTED || open.answer.isNotRun) {
    return { type: 'notRun', reason: `turned away with ${status}`, isMisdirected: status === MISDIRECTED }
  }
  if (read.isLeft()) return { type: 'broken', reason: read.swap().unsafeCoerce().message }
  if (stream.hasBegun()) return { type: 'broken', reason: `status ${status}` }
  sendAnswer(context, request, { peer: serverId, status, headers: context.codec.encodeAnswer(open.message.rawHeaders), body: read.unsafeCoerce(), end: endOf(open.message) })
  return { type: 'answered' }
}
