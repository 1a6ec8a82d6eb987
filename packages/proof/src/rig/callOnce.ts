import { createClient } from '@connectrpc/connect'
import { createTimerService, createTransport } from '@figmount/base'
import { Inference } from '@figmount/schema'

import { callerKey, DEFAULT_CALLER } from './operate.js'

import type { AnswerFrame, Final, Refusal } from '@figmount/schema'
import type { RequestPlan, CallOutcome } from './callTypes.js'

const timers = createTimerService()

/** The part of an answer that has been received so far. */
interface AnswerSoFar {
  readonly tokens: readonly string[]
  readonly frameCount: number
  readonly final?: Final
  readonly refusal?: Refusal
  readonly faults: readonly string[]
}

const EMPTY_READ: AnswerSoFar = { tokens: [], frameCount: 0, faults: [] }

const withFault = (read: AnswerSoFar, fault: string): AnswerSoFar => ({ ...read, faults: [...read.faults, fault] })

const checkFrame = (read: AnswerSoFar, frame: AnswerFrame): AnswerSoFar => {
  if (read.final || read.refusal) return withFault(read, `frame ${frame.number} arrived after the final one`)
  if (frame.number !== read.frameCount) return withFault(read, `received frame ${frame.number} instead of ${read.frameCount}`)
  return read
}

const readFrame = (read: AnswerSoFar, frame: AnswerFrame): AnswerSoFar => {
  const next = { ...checkFrame(read, frame), frameCount: read.frameCount + 1 }
  if (frame.body.case === 'tokens') {
    const { firstTokenIndex, tokens } = frame.body.value
    const checked = firstTokenIndex === read.tokens.length ? next : withFault(next, `received token ${firstTokenIndex} instead of ${read.tokens.length}`)
    return { ...checked, tokens: [...read.tokens, ...tokens] }
  }
  if (frame.body.case === 'refusal') return { ...next, refusal: frame.body.value }
  if (frame.body.case !== 'final') return next
  const final = frame.body.value
  const counted = final.frameCount === next.frameCount ? next : withFault(next, `the final frame announces ${final.frameCount} frames, ${next.frameCount} arrived`)
  const whole = final.tokenCount === read.tokens.length ? counted : withFault(counted, `the final frame announces ${final.tokenCount} tokens, ${read.tokens.length} arrived`)
  return { ...whole, final }
}

/** Builds the request message of one send. */
export const makeRequest = (plan: RequestPlan & { readonly requestKey: string }): object => ({
  requestKey: plan.requestKey,
  issuedAtMs: BigInt(plan.issuedAtMs ?? timers.unixMs()),
  deadlineMs: plan.deadlineMs ?? 20_000,
  repeatable: plan.repeatable ?? true,
  service: plan.service,
  model: plan.model,
  adapter: plan.adapter ?? '',
  version: plan.version ?? '',
  prefixHint: plan.prefixHint ?? '',
  prompt: plan.prompt,
  maxTokens: plan.maxTokens ?? 8,
  resendCount: plan.resendCount ?? 0
})

/** Sends a request once, reads its answer to the end and checks every frame. */
export const callOnce = async (address: string, plan: RequestPlan & { readonly requestKey: string }, signal?: AbortSignal): Promise<CallOutcome> => {
  const transport = createTransport({ address, bearerKey: callerKey(plan.caller ?? DEFAULT_CALLER) })
  const startedMs = timers.nowMs()
  let firstTokenMs = -1
  let read = EMPTY_READ
  let error = ''
  try {
    for await (const frame of createClient(Inference, transport).infer(makeRequest(plan), signal ? { signal } : {})) {
      read = readFrame(read, frame)
      if (firstTokenMs < 0 && read.tokens.length > 0) firstTokenMs = timers.nowMs() - startedMs
    }
  } catch (thrown) {
    error = (thrown as Error).message
  }
  const kind = read.final ? 'answered' : read.refusal ? 'refused' : 'broken'
  const { frameCount, ...rest } = read
  return { kind, firstTokenMs, totalMs: timers.nowMs() - startedMs, ...rest, ...(error ? { error: `${error} after ${frameCount} frames` } : {}) }
}
