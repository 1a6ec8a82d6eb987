import type { AttemptId } from '@figmount/base'
import type { FromAgent } from '@figmount/peers'
import type { AnswerState, AnswerStep } from './types.js'

/** A frame of an attempt's answer as an agent numbers it. */
export type AnswerFrameMessage = Extract<FromAgent, { readonly type: 'tokens' | 'final' }>

interface Reduction {
  readonly state: AnswerState
  readonly step: AnswerStep
}

/** The state before the first frame of an attempt that goes on behind `tokenCount` tokens. */
export const beginAnswer = (attemptId: AttemptId, tokenCount: number): AnswerState =>
  ({ attemptId, nextFrame: 0, tokenCount })

const dropped = (state: AnswerState, reason: string): Reduction => ({ state, step: { kind: 'drop', reason } })

const broken = (state: AnswerState, reason: string): Reduction => ({ state, step: { kind: 'broken', reason } })

const takeTokens = (state: AnswerState, firstTokenIndex: number, tokens: readonly string[]): Reduction => {
  const passed = { ...state, nextFrame: state.nextFrame + 1 }
  const behindIndex = firstTokenIndex + tokens.length
  if (firstTokenIndex > state.tokenCount) {
    return broken(passed, `tokens ${state.tokenCount} to ${firstTokenIndex - 1} are missing`)
  }
  // Guards against a token shown twice: an engine that resumes may repeat the last one,
  // under a new frame number, so token indices decide and not frame numbers.
  if (behindIndex <= state.tokenCount) return dropped(passed, 'tokens repeated')
  const fresh = tokens.slice(state.tokenCount - firstTokenIndex)
  return {
    state: { ...passed, tokenCount: behindIndex },
    step: { kind: 'deliver', firstTokenIndex: state.tokenCount, tokens: fresh }
  }
}

/**
 * Takes one frame into the answer of a request. Only frames of the present attempt
 * count, in order; whatever is late, crossed or repeated is dropped.
 */
export const reduceAnswer = (state: AnswerState, message: AnswerFrameMessage): Reduction => {
  if (message.attemptId !== state.attemptId) return dropped(state, 'of another attempt')
  if (message.frame < state.nextFrame) return dropped(state, 'frame repeated')
  if (message.frame > state.nextFrame) return { state, step: { kind: 'gap', fromFrame: state.nextFrame } }
  if (message.type === 'tokens') return takeTokens(state, message.firstTokenIndex, message.tokens)
  const passed = { ...state, nextFrame: state.nextFrame + 1 }
  if (message.tokenCount !== state.tokenCount) {
    return broken(passed, `final counts ${message.tokenCount} tokens, ${state.tokenCount} came`)
  }
  return { state: passed, step: { kind: 'finish' } }
}
