import { createClient } from '@connectrpc/connect'
import { createTimerService, createTransport } from '@figmount/base'
import { Inference } from '@figmount/schema'

import { callerKey, DEFAULT_CALLER } from './operate.js'

import type { AnswerFrame, Final, Refusal } from '@figmount/schema'
import type { AskPlan, CallOutcome } from './callTypes.js'

const timers = createTimerService()

/** What has been read of an answer so far. */
interface AnswerRead {
  readonly tokens: readonly string[]
  readonly frameCount: number
  readonly final?: Final
  readonly refusal?: Refusal
  readonly faults: readonly string[]
}

const EMPTY_READ: AnswerRead = { tokens: [], frameCount: 0, faults: [] }

const withFault = (read: AnswerRead, fault: string): AnswerRead => ({ ...read, faults: [...read.faults, fault] })

const checkFrame = (read: AnswerRead, frame: AnswerFrame): AnswerRead => {
  if (read.final || read.refusal) return withFault(read, `frame ${frame.number} came after the last one`)
  if (frame.number !== read.frameCount) return withFault(read, `frame ${frame.number} came in place of ${read.frameCount}`)
  return read
}

const readFrame = (read: AnswerRead, frame: AnswerFrame): AnswerRead => {
  const next = { ...checkFrame(read, frame), frameCount: read.frameCount + 1 }
  if (frame.body.case === 'tokens') {
    const { firstTokenIndex, tokens } = frame.body.value
    const checked = firstTokenIndex === read.tokens.length ? next : withFault(next, `token ${firstTokenIndex} came in place of ${read.tokens.length}`)
    return { ...checked, tokens: [...read.tokens, ...tokens] }
  }
  if (frame.body.case === 'refusal') return { ...next, refusal: frame.body.value }
  if (frame.body.case !== 'final') return next
  const final = frame.body.value
  const counted = final.frameCount === next.frameCount ? next : withFault(next, `${final.frameCount} frames were announced, ${next.frameCount} came`)
  const whole = final.tokenCount === read.tokens.length ? counted : withFault(counted, `${final.tokenCount} tokens were announced, ${read.tokens.length} came`)
  return { ...whole, final }
}

/** The message of one send. */
export const makeRequest = (plan: AskPlan & { readonly requestKey: string }): object => ({
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

/** Sends a request once and reads its answer to the end, checking every frame. */
export const callOnce = async (address: string, plan: AskPlan & { readonly requestKey: string }, signal?: AbortSignal): Promise<CallOutcome> => {
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
