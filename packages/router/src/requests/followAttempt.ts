import { WaitState } from '@figmount/schema'

import { RouterEvent } from '../events.js'
import { ACK_FRAME_COUNT, DEADLINE_GRACE_MS, WAITING_FRAME_MS } from './constants.js'
import { batchTokens } from './batchTokens.js'
import { readNotice } from './readNotice.js'

import type { AnswerPart, AnswerState } from '../answers/types.js'
import type { AttemptChannel, AttemptNotice } from '../links/types.js'
import type { AttemptFacts, NoticeAction } from './readNotice.js'
import type { AdmittedRequest, AttemptOutcome, ServeContext } from './types.js'

/** Mutable holder of the answer received so far; the link reads `state` to resume an attempt after a reconnect. */
export interface MutableAnswer {
  state: AnswerState
}

interface FollowOptions {
  readonly context: ServeContext
  readonly admitted: AdmittedRequest
  readonly facts: AttemptFacts
  readonly channel: AttemptChannel
  readonly answer: MutableAnswer
  readonly signal: AbortSignal
}

/** Follows one attempt until it ends, and yields the parts of its answer for the caller. */
export const followAttempt = async function * (options: FollowOptions): AsyncGenerator<AnswerPart, AttemptOutcome> {
  const { context, admitted, facts, channel, answer, signal } = options
  const { timers, events } = context
  const { attemptId } = answer.state
  let waiting: AnswerPart = { kind: 'waiting', state: WaitState.QUEUED, estimatedWaitMs: 0 }
  let lastPartAtMs = timers.nowMs()
  let resumeRequestedAtMs = -Infinity
  let acknowledgedFrame = 0

  const requestMissingFrames = (): void => {
    // Every frame after a gap reveals the gap again; one resume request per interval is enough.
    if (timers.nowMs() - resumeRequestedAtMs < WAITING_FRAME_MS) return
    resumeRequestedAtMs = timers.nowMs()
    channel.send({ type: 'resume', attemptId, fromFrame: answer.state.nextFrame })
  }

  const acknowledge = (): void => {
    acknowledgedFrame = answer.state.nextFrame
    channel.send({ type: 'ack', attemptId, belowFrame: acknowledgedFrame })
  }

  const acknowledgeIfDue = (): void => {
    if (answer.state.nextFrame - acknowledgedFrame >= ACK_FRAME_COUNT) acknowledge()
  }

  const read = (notice: AttemptNotice): NoticeAction => {
    const result = readNotice(answer.state, notice, facts)
    answer.state = result.state
    return result.action
  }

  /** Applies an action, except for yielding its part; returns the outcome if the attempt has ended. */
  const applyAction = (action: NoticeAction): AttemptOutcome | undefined => {
    if (action.kind === 'end') return action.outcome
    if (action.kind === 'remember') waiting = action.waiting
    if (action.kind === 'ask') requestMissingFrames()
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
    if (channel.hasOverflowed()) requestMissingFrames()
    const notice = await channel.take(Math.min(untilDeadlineMs, untilWaitingMs), signal)
    if (!notice) continue
    const action = read(notice)
    if (action.kind !== 'show') {
      if (action.kind === 'finish') yield action.part
      const outcome = applyAction(action)
      if (outcome) return outcome
      continue
    }
    const { part, next } = await batchTokens(action.part, channel.take, read)
    yield part
    lastPartAtMs = timers.nowMs()
    acknowledgeIfDue()
    if (next?.kind === 'finish') yield next.part
    const outcome = next && applyAction(next)
    if (outcome) return outcome
  }
  return { kind: 'callerLeft' }
}
