import { match } from 'ts-pattern'

import { reduceAnswer } from '../answers/reduceAnswer.js'
import { ONCE_LOST_MS, REPEATABLE_LOST_DIALS, REPEATABLE_LOST_MS } from './constants.js'

import type { InstanceName } from '@figmount/base'
import type { AnswerFrameMessage } from '../answers/reduceAnswer.js'
import type { AnswerPart, AnswerState, TokensPart } from '../answers/types.js'
import type { AttemptNotice } from '../links/types.js'
import type { AttemptOutcome } from './types.js'

/** Action that the task of an attempt takes for a notice. */
export type NoticeAction =
  | { readonly kind: 'wait' }
  /** Store the part, which is sent whenever no other part was sent to the caller for a while. */
  | { readonly kind: 'remember', readonly waiting: AnswerPart }
  | { readonly kind: 'show', readonly part: TokensPart }
  /** Request missing frames from the agent. */
  | { readonly kind: 'ask', readonly fromFrame: number }
  | { readonly kind: 'drop', readonly reason: string }
  | { readonly kind: 'finish', readonly part: AnswerPart }
  | { readonly kind: 'end', readonly outcome: AttemptOutcome }

interface NoticeResult {
  readonly state: AnswerState
  readonly action: NoticeAction
}

/** Properties of an attempt that do not change while it runs. */
export interface AttemptFacts {
  readonly agent: InstanceName
  readonly repeatable: boolean
  /** True when the attempt was started by an earlier send of the request key. */
  readonly isJoined: boolean
}

type LinkDown = Extract<AttemptNotice, { type: 'link.down' }>

/** True when an attempt counts as lost because its agent has been unreachable for too long. */
export const isLost = ({ downMs, failedDialCount }: LinkDown, repeatable: boolean): boolean =>
  repeatable ? failedDialCount >= REPEATABLE_LOST_DIALS || downMs >= REPEATABLE_LOST_MS : downMs >= ONCE_LOST_MS

const lost = (facts: AttemptFacts, detail: string, isKnownLost: boolean): NoticeAction =>
  ({ kind: 'end', outcome: { kind: 'lost', agent: facts.agent, detail, isKnownLost } })

const finalPart = (message: AnswerFrameMessage, facts: AttemptFacts): AnswerPart | undefined => {
  if (message.type !== 'final') return undefined
  const { tokenCount, finishReason, version, plain } = message
  return { kind: 'final', tokenCount, finishReason, version, replayed: facts.isJoined, ...(plain ? { plain } : {}) }
}

const readFrame = (state: AnswerState, message: AnswerFrameMessage, facts: AttemptFacts): NoticeResult => {
  const reduction = reduceAnswer(state, message)
  const action = match(reduction.step)
    .returnType<NoticeAction>()
    .with({ kind: 'deliver' }, ({ firstTokenIndex, tokens }) => ({ kind: 'show', part: { kind: 'tokens', firstTokenIndex, tokens } }))
    .with({ kind: 'drop' }, ({ reason }) => ({ kind: 'drop', reason }))
    .with({ kind: 'gap' }, ({ fromFrame }) => ({ kind: 'ask', fromFrame }))
    .with({ kind: 'broken' }, ({ reason }) => lost(facts, reason, true))
    .with({ kind: 'finish' }, () => {
      const part = finalPart(message, facts)
      return part ? { kind: 'finish', part } : { kind: 'wait' }
    })
    .exhaustive()
  return { state: reduction.state, action }
}

/** Applies one notice to the state of the answer; returns the new state and the action to take. */
export const readNotice = (state: AnswerState, notice: AttemptNotice, facts: AttemptFacts): NoticeResult =>
  match(notice)
    .returnType<NoticeResult>()
    // Most frequent notices first: the patterns are tried in order.
    .with({ type: 'tokens' }, { type: 'final' }, frame => readFrame(state, frame, facts))
    .with({ type: 'link.down' }, down => ({
      state,
      action: isLost(down, facts.repeatable) ? lost(facts, `no link for ${Math.round(down.downMs)} ms`, false) : { kind: 'wait' }
    }))
    .with({ type: 'unknown' }, () => ({ state, action: lost(facts, 'the agent does not know the attempt', true) }))
    .with({ type: 'refused' }, ({ refusal }) => ({ state, action: { kind: 'end', outcome: { kind: 'refused', note: refusal } } }))
    .with({ type: 'progress' }, progress => ({
      state,
      action: { kind: 'remember', waiting: { kind: 'waiting', state: progress.state, estimatedWaitMs: progress.estimatedWaitMs } }
    }))
    .exhaustive()
