import type { AttemptId } from '@figmount/base'
import type { AgentToRouterMessage } from '@figmount/peers'
import type { AnswerState, AnswerStep } from './types.js'

/** A frame of an attempt's answer, numbered by the agent. */
export type AnswerFrameMessage = Extract<AgentToRouterMessage, { readonly type: 'tokens' | 'final' }>

interface Reduction {
  readonly state: AnswerState
  readonly step: AnswerStep
}

/** Returns the state before the first frame of an attempt that continues after `tokenCount` tokens. */
export const beginAnswer = (attemptId: AttemptId, tokenCount: number): AnswerState =>
  ({ attemptId, nextFrame: 0, tokenCount })

const dropped = (state: AnswerState, reason: string): Reduction => ({ state, step: { kind: 'drop', reason } })

const broken = (state: AnswerState, reason: string): Reduction => ({ state, step: { kind: 'broken', reason } })

const applyTokens = (state: AnswerState, firstTokenIndex: number, tokens: readonly string[]): Reduction => {
  const advanced = { ...state, nextFrame: state.nextFrame + 1 }
  const endIndex = firstTokenIndex + tokens.length
  if (firstTokenIndex > state.tokenCount) {
    return broken(advanced, `tokens ${state.tokenCount} to ${firstTokenIndex - 1} are missing`)
  }
  // An engine that resumes may repeat the last token under a new frame number. Token indices therefore decide which
  // tokens are delivered, not frame numbers.
  if (endIndex <= state.tokenCount) return dropped(advanced, 'tokens repeated')
  const fresh = tokens.slice(state.tokenCount - firstTokenIndex)
  return {
    state: { ...advanced, tokenCount: endIndex },
    step: { kind: 'deliver', firstTokenIndex: state.tokenCount, tokens: fresh }
  }
}

/**
 * Applies one frame to the state of an answer. Only frames of the current attempt are accepted, in
 * order; late and repeated frames and those of other attempts are dropped.
 */
export const reduceAnswer = (state: AnswerState, message: AnswerFrameMessage): Reduction => {
  if (message.attemptId !== state.attemptId) return dropped(state, 'of another attempt')
  if (message.frame < state.nextFrame) return dropped(state, 'frame repeated')
  if (message.frame > state.nextFrame) return { state, step: { kind: 'gap', fromFrame: state.nextFrame } }
  if (message.type === 'tokens') return applyTokens(state, message.firstTokenIndex, message.tokens)
  const advanced = { ...state, nextFrame: state.nextFrame + 1 }
  if (message.tokenCount !== state.tokenCount) {
    return broken(advanced, `final counts ${message.tokenCount} tokens, ${state.tokenCount} came`)
  }
  return { state: advanced, step: { kind: 'finish' } }
}
