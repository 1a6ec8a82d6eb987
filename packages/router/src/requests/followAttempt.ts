import { WaitState } from '@figmount/schema'

import { RouterEvent } from '../events.js'
import { ACK_FRAME_COUNT, DEADLINE_GRACE_MS, WAITING_FRAME_MS } from './constants.js'
import { gatherTokens } from './gatherTokens.js'
import { readNotice } from './readNotice.js'

import type { AnswerPart, AnswerState } from '../answers/types.js'
import type { AttemptChannel, AttemptNotice } from '../links/types.js'
import type { AttemptFacts, NoticeAction } from './readNotice.js'
import type { AdmittedRequest, AttemptOutcome, ServeContext } from './types.js'

/** The answer of one request as it grows; the attempt's link reads `state` to resume. */
export interface AnswerCell {
  state: AnswerState
}

interface FollowOptions {
  readonly context: ServeContext
  readonly admitted: AdmittedRequest
  readonly facts: AttemptFacts
  readonly channel: AttemptChannel
  readonly answer: AnswerCell
  readonly signal: AbortSignal
}

/** Follows one attempt to its end and yields what the caller is to be told. */
export const followAttempt = async function * (options: FollowOptions): AsyncGenerator<AnswerPart, AttemptOutcome> {
  const { context, admitted, facts, channel, answer, signal } = options
  const { timers, events } = context
  const { attemptId } = answer.state
  let waiting: AnswerPart = { kind: 'waiting', state: WaitState.QUEUED, estimatedWaitMs: 0 }
  let lastPartAtMs = timers.nowMs()
  let askedAtMs = -Infinity
  let acknowledgedFrame = 0

  const askAgain = (): void => {
    // Every frame behind a gap shows it again; asking once a while is enough.
    if (timers.nowMs() - askedAtMs < WAITING_FRAME_MS) return
    askedAtMs = timers.nowMs()
    channel.send({ type: 'resume', attemptId, fromFrame: answer.state.nextFrame })
  }

  const acknowledge = (): void => {
    acknowledgedFrame = answer.state.nextFrame
    channel.send({ type: 'ack', attemptId, belowFrame: acknowledgedFrame })
  }

  const acknowledgeSome = (): void => {
    if (answer.state.nextFrame - acknowledgedFrame >= ACK_FRAME_COUNT) acknowledge()
  }

  const read = (notice: AttemptNotice): NoticeAction => {
    const reading = readNotice(answer.state, notice, facts)
    answer.state = reading.state
    return reading.action
  }

  /** Does what an action asks for beside showing its part; the outcome if the attempt has ended. */
  const act = (action: NoticeAction): AttemptOutcome | undefined => {
    if (action.kind === 'end') return action.outcome
    if (action.kind === 'remember') waiting = action.waiting
    if (action.kind === 'ask') askAgain()
    if (action.kind === 'drop') events.emit(RouterEvent.frameDropped, { attemptId, peer: facts.agent, reason: action.reason })
    if (action.kind !== 'finish') return undefined
    acknowledge()
    return { kind: 'answered' }
  }

  while (!signal.aborted) {
    const nowMs = timers.nowMs()
    const untilDeadlineMs = admitted.deadlineAtMs + DEADLINE_GRACE_MS - nowMs
    if (untilDeadlineMs <= 0) return { kind: 'deadline', agent: facts.agent }
    const untilWaitingMs = lastPartAtMs + WAITING_FRAME_MS - nowMs
    if (untilWaitingMs <= 0) {
      yield waiting
      lastPartAtMs = timers.nowMs()
      continue
    }
    if (channel.hasOverflowed()) askAgain()
    const notice = await channel.take(Math.min(untilDeadlineMs, untilWaitingMs), signal)
    if (!notice) continue
    const action = read(notice)
    if (action.kind !== 'show') {
      if (action.kind === 'finish') yield action.part
      const outcome = act(action)
      if (outcome) return outcome
      continue
    }
    const { part, next } = await gatherTokens(action.part, channel.take, read)
    yield part
    lastPartAtMs = timers.nowMs()
    acknowledgeSome()
    if (next?.kind === 'finish') yield next.part
    const outcome = next && act(next)
    if (outcome) return outcome
  }
  return { kind: 'callerLeft' }
}
