import { randomUUID } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import { sleep } from '@figmount/base'
import { InferRequestSchema, RunState } from '@figmount/schema'

import { ClientEvent } from '../events.js'
import { INITIAL_BACKOFF_MS, MAX_BACKOFF_MS } from './constants.js'
import { openConnectAnswer } from './openConnectAnswer.js'
import { receiveAnswer } from './receiveAnswer.js'

import type { EventFields, EventKind } from '@figmount/base'
import type { InferRequest, Refusal } from '@figmount/schema'
import type { ReceiveResult } from './receiveAnswer.js'
import type { CallOutcome, Caller, CallerOptions, CallRequest } from './types.js'

/** Issue time and resend count of a request key. */
interface Issuance {
  readonly issuedAtMs: number
  readonly resendCount: number
}

const buildMessage = (request: CallRequest, requestKey: string, issuance: Issuance): InferRequest => create(InferRequestSchema, {
  requestKey,
  issuedAtMs: BigInt(Math.round(issuance.issuedAtMs)),
  resendCount: issuance.resendCount,
  deadlineMs: request.deadlineMs,
  repeatable: request.repeatable,
  service: request.service,
  model: request.model,
  adapter: request.adapter ?? '',
  version: request.version ?? '',
  prefixHint: request.prefixHint ?? '',
  prompt: request.prompt,
  maxTokens: request.maxTokens
})

/**
 * Returns the issue time and resend count for the next send after a refusal. "Not run" means that no send of the key has run, so it counts as
 * newly issued. After any other refusal the issue time stays and the count increases: from them a new holder of the key's
 * right derives whether an earlier holder may have started the request.
 */
export const nextIssuance = (issuance: Issuance, refusal: Refusal, nowUnixMs: number): Issuance =>
  refusal.runState === RunState.NOT_RUN
    ? { issuedAtMs: nowUnixMs, resendCount: 0 }
    : { ...issuance, resendCount: issuance.resendCount + 1 }

/**
 * Creates a caller. A call resends with the same key after each lost stream, respects retry times, accepts only
 * complete answers and moves to the next address after each failure. It ends with an answer, with a refusal without a
 * retry time, or when its time limit or signal ends it.
 */
export const createCaller = (options: CallerOptions): Caller => {
  const { addresses, timers, events, patienceMs = Infinity } = options
  const random = options.random ?? Math.random
  const openAnswer = options.openAnswer ?? openConnectAnswer(options.key)
  let addressIndex = Math.floor(random() * addresses.length)

  const emit = (kind: EventKind, fields: EventFields): void => events?.emit(kind, fields)

  const backoffMs = (lossCount: number): number =>
    Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (lossCount - 1)) * (0.5 + random() / 2)

  const call = async (request: CallRequest, signal: AbortSignal = new AbortController().signal): Promise<CallOutcome> => {
    const requestKey = request.requestKey ?? randomUUID()
    const startedAtMs = timers.nowMs()
    const fields = { requestKey, service: request.service, model: request.model, repeatable: request.repeatable }
    let issuance: Issuance = { issuedAtMs: timers.unixMs(), resendCount: 0 }
    let sendCount = 0
    let lossCount = 0
    let lastMistake = ''

    const send = async (): Promise<ReceiveResult> => {
      const address = addresses[addressIndex % addresses.length] ?? ''
      sendCount += 1
      emit(sendCount === 1 ? ClientEvent.requestIssued : ClientEvent.requestResent, { ...fields, peer: address, count: sendCount })
      const received = await receiveAnswer({ openAnswer, address, request: buildMessage(request, requestKey, issuance), timers, signal })
      if (received.kind === 'broken') addressIndex += 1
      return received
    }

    const totalMs = (): number => timers.nowMs() - startedAtMs
    const shouldGiveUp = (waitMs: number): boolean => signal.aborted || totalMs() + waitMs > patienceMs

    while (!shouldGiveUp(0)) {
      const received = await send()
      if (received.kind === 'broken') {
        lossCount += 1
        lastMistake = received.mistake
        issuance = { ...issuance, resendCount: issuance.resendCount + 1 }
        emit(ClientEvent.answerIncomplete, { ...fields, reason: received.mistake })
        await sleep(timers, backoffMs(lossCount), signal)
        continue
      }
      const { end, tokens, firstTokenAtMs, longestGapMs } = received
      if (end.kind === 'final') {
        emit(ClientEvent.answerWhole, { ...fields, tokenCount: tokens.length, durationMs: totalMs() })
        return { kind: 'answered', tokens, final: end.final, sendCount, firstTokenMs: Math.max(0, firstTokenAtMs - startedAtMs), longestGapMs, totalMs: totalMs() }
      }
      const { refusal } = end
      emit(ClientEvent.refusalHeard, { ...fields, reason: refusal.detail, runState: RunState[refusal.runState], retryAfterMs: refusal.retryAfterMs })
      if (refusal.retryAfterMs === 0) {
        emit(ClientEvent.requestGivenUp, fields)
        return { kind: 'refused', refusal, sendCount, totalMs: totalMs() }
      }
      lossCount = 0
      lastMistake = refusal.detail
      if (shouldGiveUp(refusal.retryAfterMs)) break
      await sleep(timers, refusal.retryAfterMs, signal)
      addressIndex += 1
      issuance = nextIssuance(issuance, refusal, timers.unixMs())
    }
    emit(ClientEvent.requestGivenUp, fields)
    return { kind: 'givenUp', sendCount, totalMs: totalMs(), lastMistake }
  }

  return { call }
}
