import { WaitState } from '@figmount/schema'

import { RouterEvent } from '../events.js'
import { ACK_FRAME_COUNT, DEADLINE_GRACE_MS, WAITING_FRAME_MS } from './constants.js'
import { readNotice } from './readNotice.js'

import type { AnswerPart, AnswerState } from '../answers/types.js'
import type { AttemptChannel } from '../links/types.js'
import type { AttemptFacts } from './readNotice.js'
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

  const askAgain = (): void => {
    // Every frame behind a gap shows it again; asking once a while is enough.
    if (timers.nowMs() - askedAtMs < WAITING_FRAME_MS) return
    askedAtMs = timers.nowMs()
    channel.send({ type: 'resume', attemptId, fromFrame: answer.state.nextFrame })
  }

  const acknowledge = (): void => {
    channel.send({ type: 'ack', attemptId, belowFrame: answer.state.nextFrame })
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
    const { state, action } = readNotice(answer.state, notice, facts)
    answer.state = state
    if (action.kind === 'end') return action.outcome
    if (action.kind === 'remember') waiting = action.waiting
    if (action.kind === 'ask') askAgain()
    if (action.kind === 'drop') events.emit(RouterEvent.frameDropped, { attemptId, peer: facts.agent, reason: action.reason })
    if (action.kind === 'finish') {
      yield action.part
      acknowledge()
      return { kind: 'answered' }
    }
    if (action.kind !== 'show') continue
    yield action.part
    lastPartAtMs = timers.nowMs()
    if (state.nextFrame % ACK_FRAME_COUNT === 0) acknowledge()
  }
  return { kind: 'callerLeft' }
}
