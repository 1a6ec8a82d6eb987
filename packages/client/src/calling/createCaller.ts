import { randomUUID } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import { sleep } from '@figmount/base'
import { InferRequestSchema, RunState } from '@figmount/schema'

import { ClientEvent } from '../events.js'
import { FIRST_LOSS_PAUSE_MS, MAX_LOSS_PAUSE_MS } from './constants.js'
import { openConnectAnswer } from './openConnectAnswer.js'
import { receiveAnswer } from './receiveAnswer.js'

import type { EventFields, EventKind } from '@figmount/base'
import type { InferRequest, Refusal } from '@figmount/schema'
import type { Received } from './receiveAnswer.js'
import type { CallOutcome, Caller, CallerOptions, CallRequest } from './types.js'

/** One issue of a key: what stays the same over its resends. */
interface Issue {
  readonly issuedAtMs: number
  readonly resendCount: number
}

const messageOf = (request: CallRequest, requestKey: string, issue: Issue): InferRequest => create(InferRequestSchema, {
  requestKey,
  issuedAtMs: BigInt(Math.round(issue.issuedAtMs)),
  resendCount: issue.resendCount,
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
 * The next issue of a key after a refusal. "Not run" means that nothing of the key has run, so
 * it may be issued anew; after anything else the key's age and count must stand, because they
 * tell whether an earlier holder of the key may have let it run.
 */
export const nextIssue = (issue: Issue, refusal: Refusal, nowUnixMs: number): Issue =>
  refusal.runState === RunState.NOT_RUN
    ? { issuedAtMs: nowUnixMs, resendCount: 0 }
    : { ...issue, resendCount: issue.resendCount + 1 }

/**
 * Makes a caller. Each call resends with the same key after every loss, waits as it is told,
 * takes only whole answers, goes to the next address after a failure, and ends only with an
 * answer, with a refusal that says coming back is of no use, or by its own patience.
 */
export const createCaller = (options: CallerOptions): Caller => {
  const { addresses, timers, events, patienceMs = Infinity } = options
  const random = options.random ?? Math.random
  const openAnswer = options.openAnswer ?? openConnectAnswer(options.key)
  let addressIndex = Math.floor(random() * addresses.length)

  const tell = (kind: EventKind, fields: EventFields): void => events?.emit(kind, fields)

  const lossPauseMs = (lossCount: number): number =>
    Math.min(MAX_LOSS_PAUSE_MS, FIRST_LOSS_PAUSE_MS * 2 ** (lossCount - 1)) * (0.5 + random() / 2)

  const call = async (request: CallRequest, signal: AbortSignal = new AbortController().signal): Promise<CallOutcome> => {
    const requestKey = request.requestKey ?? randomUUID()
    const startedAtMs = timers.nowMs()
    const fields = { requestKey, service: request.service, model: request.model, repeatable: request.repeatable }
    let issue: Issue = { issuedAtMs: timers.unixMs(), resendCount: 0 }
    let sendCount = 0
    let lossCount = 0
    let lastMistake = ''

    const send = async (): Promise<Received> => {
      const address = addresses[addressIndex % addresses.length] ?? ''
      sendCount += 1
      tell(sendCount === 1 ? ClientEvent.requestIssued : ClientEvent.requestResent, { ...fields, peer: address, count: sendCount })
      const received = await receiveAnswer({ openAnswer, address, request: messageOf(request, requestKey, issue), timers, signal })
      if (received.kind === 'broken') addressIndex += 1
      return received
    }

    const totalMs = (): number => timers.nowMs() - startedAtMs
    const isOver = (pauseMs: number): boolean => signal.aborted || totalMs() + pauseMs > patienceMs

    while (!isOver(0)) {
      const received = await send()
      if (received.kind === 'broken') {
        lossCount += 1
        lastMistake = received.mistake
        issue = { ...issue, resendCount: issue.resendCount + 1 }
        tell(ClientEvent.answerIncomplete, { ...fields, reason: received.mistake })
        await sleep(timers, lossPauseMs(lossCount), signal)
        continue
      }
      const { end, tokens, firstTokenAtMs, longestGapMs } = received
      if (end.kind === 'final') {
        tell(ClientEvent.answerWhole, { ...fields, tokenCount: tokens.length, durationMs: totalMs() })
        return { kind: 'answered', tokens, final: end.final, sendCount, firstTokenMs: Math.max(0, firstTokenAtMs - startedAtMs), longestGapMs, totalMs: totalMs() }
      }
      const { refusal } = end
      tell(ClientEvent.refusalHeard, { ...fields, reason: refusal.detail, runState: RunState[refusal.runState], retryAfterMs: refusal.retryAfterMs })
      if (refusal.retryAfterMs === 0) {
        tell(ClientEvent.requestGivenUp, fields)
        return { kind: 'refused', refusal, sendCount, totalMs: totalMs() }
      }
      lossCount = 0
      lastMistake = refusal.detail
      if (isOver(refusal.retryAfterMs)) break
      await sleep(timers, refusal.retryAfterMs, signal)
      addressIndex += 1
      issue = nextIssue(issue, refusal, timers.unixMs())
    }
    tell(ClientEvent.requestGivenUp, fields)
    return { kind: 'givenUp', sendCount, totalMs: totalMs(), lastMistake }
  }

  return { call }
}
