import { gatherFrame, nothingGathered } from '../answers/gatherAnswer.js'
import { FRAME_SILENCE_MS } from './constants.js'

import type { TimerService } from '@figmount/base'
import type { InferRequest } from '@figmount/schema'
import type { AnswerEnd } from '../answers/gatherAnswer.js'
import type { OpenAnswer } from './types.js'

interface ReceiveOptions {
  readonly openAnswer: OpenAnswer
  readonly address: string
  readonly request: InferRequest
  readonly timers: TimerService
  readonly signal: AbortSignal
}

/** How one send ended. */
export type Received =
  | { readonly kind: 'ended', readonly end: AnswerEnd, readonly tokens: readonly string[], readonly firstTokenAtMs: number, readonly longestGapMs: number }
  /** The stream broke, fell silent, or its frames do not fit together. */
  | { readonly kind: 'broken', readonly mistake: string }

/** Sends a request once and receives its answer; silence of FRAME_SILENCE_MS counts as a broken stream. */
export const receiveAnswer = async ({ openAnswer, address, request, timers, signal }: ReceiveOptions): Promise<Received> => {
  const abort = new AbortController()
  const stop = (): void => abort.abort()
  signal.addEventListener('abort', stop, { once: true })
  let cancelSilence = timers.after(FRAME_SILENCE_MS, stop)
  const tokens: string[] = []
  let gathered = nothingGathered
  let firstTokenAtMs = 0
  let lastTokenAtMs = 0
  let longestGapMs = 0
  try {
    for await (const frame of openAnswer(address, request, abort.signal)) {
      cancelSilence()
      cancelSilence = timers.after(FRAME_SILENCE_MS, stop)
      gathered = gatherFrame(gathered, frame)
      tokens.push(...gathered.fresh)
      if (frame.body.case === 'tokens') {
        const nowMs = timers.nowMs()
        if (firstTokenAtMs === 0) firstTokenAtMs = nowMs
        else longestGapMs = Math.max(longestGapMs, nowMs - lastTokenAtMs)
        lastTokenAtMs = nowMs
      }
      if (gathered.mistake !== undefined) return { kind: 'broken', mistake: gathered.mistake }
    }
  } catch (error) {
    if (!gathered.end) return { kind: 'broken', mistake: abort.signal.aborted ? 'no frame came in time' : (error as Error).message }
  } finally {
    cancelSilence()
    signal.removeEventListener('abort', stop)
  }
  const { end } = gathered
  return end ? { kind: 'ended', end, tokens, firstTokenAtMs, longestGapMs } : { kind: 'broken', mistake: 'the stream ended without its last frame' }
}
