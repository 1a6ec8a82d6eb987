import { awaitProof } from '../ends/awaitProof.js'
import { readAnswer } from '../forwarding/readAnswer.js'
import { BytesEnd } from '../forwarding/framing.js'
import { holdForCaller } from '../memory/holdForCaller.js'
import { relayEvents } from '../streams/relayEvents.js'
import { completeAnswer, sendAnswer } from './endRequest.js'
import { openExchange } from './openExchange.js'

import type { Either } from 'purify-ts'
import type { Fault } from '@figmount/base'
import type { KnownServer } from '../directory/types.js'
import type { AnswerEnd } from '../forwarding/framing.js'
import type { ReadAnswer } from '../forwarding/readAnswer.js'
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

/** One run of a stream on one server. */
export interface StreamRun {
  readonly server: KnownServer
  readonly stream: CallerStream
  readonly retry: TakenRetry | undefined
  /** The stream may go on elsewhere if this run breaks off. */
  readonly mayRunElsewhere: boolean
  /** Aborts when the run must end. */
  readonly signal: AbortSignal
  readonly noteEvent: () => void
}

const NO_PROOF_REASON = 'the connection was closed, and nothing shows that its server lives'

const relay = async (context: GatewayContext, request: RoutedRequest, run: StreamRun, open: OpenAnswer): Promise<RunEnd> => {
  const { stream, noteEvent } = run
  stream.open(open.message.statusCode ?? OK, context.codec.encodeAnswer(open.message.rawHeaders))
  const { end, reason } = await relayEvents({
    answer: open,
    timers: context.timers,
    take: event => {
      noteEvent()
      return stream.take(event)
    },
    onceDrained: stream.onceDrained,
    silenceMs: request.route.patienceMs
  })
  if (stream.isTooLong()) return { type: 'broken', reason: 'too long for a caller that takes no chunks' }
  if (end === BytesEnd.BrokenOff) return { type: 'broken', reason }
  if (!stream.mayEnd()) return { type: 'broken', reason: 'ended before an event that the caller has' }
  const proof = await awaitProof(context, request, { ...run, mayRunElsewhere: run.mayRunElsewhere && stream.mayGoOn(), end })
  return proof ? { type: 'finished', answerEnd: { framing: open.framing, proof } } : { type: 'broken', reason: NO_PROOF_REASON }
}

/** Passes on an answer that is no stream. */
const passOn = async (context: GatewayContext, request: RoutedRequest, run: StreamRun, open: OpenAnswer, read: Either<Fault, ReadAnswer>): Promise<RunEnd> => {
  const status = open.message.statusCode ?? 0
  if (status === MISDIRECTED || open.answer.isNotRun) {
    return { type: 'notRun', reason: `turned away with ${status}`, isMisdirected: status === MISDIRECTED }
  }
  if (read.isLeft()) return { type: 'broken', reason: read.swap().unsafeCoerce().message }
  if (run.stream.hasBegun()) return { type: 'broken', reason: `status ${status}` }
  const { body, end, hold } = read.unsafeCoerce()
  const proof = await awaitProof(context, request, { ...run, end })
  if (!proof) return { type: 'broken', reason: NO_PROOF_REASON }
  sendAnswer(context, request, completeAnswer(context, open, { body, hold }, proof, run.server.entry.serverId))
  return { type: 'answered' }
}

/** Runs a stream on one server and forwards its events. */
export const runStream = async (context: GatewayContext, request: RoutedRequest, run: StreamRun): Promise<RunEnd> => {
  const { server, stream, retry, signal } = run
  const { serverId } = server.entry
  const opened = await openExchange(context, request, server, stream.lastEventId(), retry, signal)
  if (opened.isLeft()) {
    const { fault, mayHaveRun } = opened.swap().unsafeCoerce()
    if (mayHaveRun) return { type: 'broken', reason: fault.message }
    return { type: 'notRun', reason: fault.message, isMisdirected: false }
  }
  const open = opened.unsafeCoerce()
  const status = open.message.statusCode ?? 0
  if (status === OK && !open.answer.isNotRun) return await relay(context, request, run, open)
  const read = await readAnswer(open, { serverId, signal, reserve: (bytes, granted) => holdForCaller(context, request, bytes, granted) })
  const end = await passOn(context, request, run, open, read)
  if (end.type !== 'answered') read.ifRight(({ hold }) => hold?.release())
  return end
}
