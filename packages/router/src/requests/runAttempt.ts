import { beginAnswer } from '../answers/reduceAnswer.js'
import { RouterEvent } from '../events.js'
import { followAttempt } from './followAttempt.js'

import type { AttemptId, InstanceName } from '@figmount/base'
import type { Permit, RouterToAgentMessage } from '@figmount/peers'
import type { AnswerPart } from '../answers/types.js'
import type { MutableAnswer } from './followAttempt.js'
import type { AdmittedRequest, AttemptOutcome, ServeContext } from './types.js'

type Begin = Extract<RouterToAgentMessage, { readonly type: 'start' | 'resume' }>

interface RunOptions {
  readonly context: ServeContext
  readonly admitted: AdmittedRequest
  readonly agent: InstanceName
  readonly attemptId: AttemptId
  /** Tokens that the caller has already received from earlier attempts. */
  readonly doneTokens: readonly string[]
  readonly permit?: Permit
  /** True to join an attempt that an earlier send of the request key has started. */
  readonly isJoin: boolean
  /** True if an earlier attempt of the same request has ended. */
  readonly restarts: boolean
  readonly signal: AbortSignal
}

const beginMessage = ({ context, admitted, attemptId, doneTokens, permit, isJoin }: RunOptions): Begin => {
  if (isJoin) return { type: 'resume', attemptId, fromFrame: 0 }
  const { run, deadlineAtMs } = admitted
  const isSuspect = context.suspects.verdictOf(run.fingerprint) !== 'none'
  const request = { ...run, doneTokens, suspect: isSuspect, remainingMs: Math.max(0, Math.round(deadlineAtMs - context.timers.nowMs())) }
  return { type: 'start', attemptId, request, ...(permit ? { permit } : {}) }
}

const reportStart = ({ context, admitted, agent, attemptId, isJoin, restarts, doneTokens }: RunOptions): void => {
  const { run, receivedAtMs } = admitted
  const fields = {
    caller: run.caller,
    requestKey: run.requestKey,
    attemptId,
    model: run.model,
    peer: agent,
    repeatable: run.repeatable,
    tokenCount: doneTokens.length
  }
  if (isJoin) return context.events.emit(RouterEvent.attemptJoined, fields)
  if (restarts) context.events.emit(RouterEvent.attemptRestarted, fields)
  context.events.emit(RouterEvent.requestSent, fields)
  if (!restarts) context.metrics.observeMs('routed_ms', context.timers.nowMs() - receivedAtMs)
}

/** Starts or joins one attempt on an agent and yields the parts of its answer for the caller. */
export const runAttempt = async function * (options: RunOptions): AsyncGenerator<AnswerPart, AttemptOutcome> {
  const { context, admitted, agent, attemptId, signal } = options
  const { repeatable } = admitted.run
  const answer: MutableAnswer = { state: beginAnswer(attemptId, options.doneTokens.length) }
  const channel = context.links.linkTo(agent).openAttempt(attemptId, () => answer.state.nextFrame)

  // A non-repeatable request continues when its caller disconnects; the caller may resend it and get the answer.
  const cancelAttempt = (): void => {
    if (repeatable && channel.send({ type: 'cancel', attemptId })) {
      context.events.emit(RouterEvent.attemptCancelled, { attemptId, peer: agent })
    }
    channel.close()
  }

  // A stream whose reader has disconnected is never pulled again, so the loop would not check the signal.
  // The listener ends the attempt in that case.
  signal.addEventListener('abort', cancelAttempt, { once: true })
  try {
    if (!channel.begin(beginMessage(options))) return { kind: 'unsent', agent, detail: 'no open link' }
    reportStart(options)
    const facts = { agent, repeatable, isJoined: options.isJoin }
    const outcome = yield * followAttempt({ context, admitted, facts, channel, answer, signal })
    if (outcome.kind === 'deadline' && repeatable) channel.send({ type: 'cancel', attemptId })
    return outcome
  } finally {
    signal.removeEventListener('abort', cancelAttempt)
    channel.close()
  }
}
