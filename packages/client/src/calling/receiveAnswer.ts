import { addFrame, emptyAnswer } from '../answers/addFrame.js'
import { FRAME_TIMEOUT_MS } from './constants.js'

import type { TimerService } from '@figmount/base'
import type { InferRequest } from '@figmount/schema'
import type { AnswerEnd } from '../answers/addFrame.js'
import type { OpenAnswer } from './types.js'

interface ReceiveOptions {
  readonly openAnswer: OpenAnswer
  readonly address: string
  readonly request: InferRequest
  readonly timers: TimerService
  readonly signal: AbortSignal
}

/** Result of one send. */
export type ReceiveResult =
  | { readonly kind: 'ended', readonly end: AnswerEnd, readonly tokens: readonly string[], readonly firstTokenAtMs: number, readonly longestGapMs: number }
  /** The stream broke, went silent, or its frames are inconsistent. */
  | { readonly kind: 'broken', readonly mistake: string }

/** Sends a request once and receives its answer; a stream without frames for FRAME_TIMEOUT_MS counts as broken. */
export const receiveAnswer = async ({ openAnswer, address, request, timers, signal }: ReceiveOptions): Promise<ReceiveResult> => {
  const abort = new AbortController()
  const abortStream = (): void => abort.abort()
  signal.addEventListener('abort', abortStream, { once: true })
  let cancelTimeout = timers.after(FRAME_TIMEOUT_MS, abortStream)
  const tokens: string[] = []
  let answer = emptyAnswer
  let firstTokenAtMs = 0
  let lastTokenAtMs = 0
  let longestGapMs = 0
  try {
    for await (const frame of openAnswer(address, request, abort.signal)) {
      cancelTimeout()
      cancelTimeout = timers.after(FRAME_TIMEOUT_MS, abortStream)
      answer = addFrame(answer, frame)
      tokens.push(...answer.fresh)
      if (frame.body.case === 'tokens') {
        const nowMs = timers.nowMs()
        if (firstTokenAtMs === 0) firstTokenAtMs = nowMs
        else longestGapMs = Math.max(longestGapMs, nowMs - lastTokenAtMs)
        lastTokenAtMs = nowMs
      }
      if (answer.mistake !== undefined) return { kind: 'broken', mistake: answer.mistake }
    }
  } catch (error) {
    if (!answer.end) return { kind: 'broken', mistake: abort.signal.aborted ? 'no frame came in time' : (error as Error).message }
  } finally {
    cancelTimeout()
    signal.removeEventListener('abort', abortStream)
  }
  const { end } = answer
  return end ? { kind: 'ended', end, tokens, firstTokenAtMs, longestGapMs } : { kind: 'broken', mistake: 'the stream ended without its last frame' }
}
