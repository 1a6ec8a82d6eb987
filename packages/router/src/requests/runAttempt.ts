import { beginAnswer } from '../answers/reduceAnswer.js'
import { RouterEvent } from '../events.js'
import { followAttempt } from './followAttempt.js'

import type { AttemptId, InstanceName } from '@figmount/base'
import type { Permit, ToAgent } from '@figmount/peers'
import type { AnswerPart } from '../answers/types.js'
import type { AnswerCell } from './followAttempt.js'
import type { AdmittedRequest, AttemptOutcome, ServeContext } from './types.js'

type Begin = Extract<ToAgent, { readonly type: 'start' | 'resume' }>

interface RunOptions {
  readonly context: ServeContext
  readonly admitted: AdmittedRequest
  readonly agent: InstanceName
  readonly attemptId: AttemptId
  /** Tokens that the caller has from earlier attempts. */
  readonly doneTokens: readonly string[]
  readonly permit?: Permit
  /** True to join an attempt that an earlier send of the key has started. */
  readonly joins: boolean
  /** True behind an earlier attempt of the same request. */
  readonly restarts: boolean
  readonly signal: AbortSignal
}

const beginMessage = ({ context, admitted, attemptId, doneTokens, permit, joins }: RunOptions): Begin => {
  if (joins) return { type: 'resume', attemptId, fromFrame: 0 }
  const { run, deadlineAtMs } = admitted
  const isSuspect = context.suspects.verdictOf(run.fingerprint) !== 'none'
  const request = { ...run, doneTokens, suspect: isSuspect, remainingMs: Math.max(0, Math.round(deadlineAtMs - context.timers.nowMs())) }
  return { type: 'start', attemptId, request, ...(permit ? { permit } : {}) }
}

const noteBegun = ({ context, admitted, agent, attemptId, joins, restarts, doneTokens }: RunOptions): void => {
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
  if (joins) return context.events.emit(RouterEvent.attemptJoined, fields)
  if (restarts) context.events.emit(RouterEvent.attemptRestarted, fields)
  context.events.emit(RouterEvent.requestSent, fields)
  if (!restarts) context.metrics.observeMs('routed_ms', context.timers.nowMs() - receivedAtMs)
}

/** Runs one attempt on one agent, or joins one, and yields what the caller is to be told. */
export const runAttempt = async function * (options: RunOptions): AsyncGenerator<AnswerPart, AttemptOutcome> {
  const { context, admitted, agent, attemptId, signal } = options
  const { repeatable } = admitted.run
  const answer: AnswerCell = { state: beginAnswer(attemptId, options.doneTokens.length) }
  const channel = context.links.linkTo(agent).openAttempt(attemptId, () => answer.state.nextFrame)

  // A request that may not be repeated runs on without its caller, which may come back for the answer.
  const leave = (): void => {
    if (repeatable && channel.send({ type: 'cancel', attemptId })) {
      context.events.emit(RouterEvent.attemptCancelled, { attemptId, peer: agent })
    }
    channel.close()
  }

  // Guards against an attempt that outlives its caller: a stream whose reader is gone is never
  // asked for its next frame, so this task would not get to look at the signal.
  signal.addEventListener('abort', leave, { once: true })
  try {
    if (!channel.begin(beginMessage(options))) return { kind: 'unsent', agent, detail: 'no open link' }
    noteBegun(options)
    const facts = { agent, repeatable, joined: options.joins }
    const outcome = yield * followAttempt({ context, admitted, facts, channel, answer, signal })
    if (outcome.kind === 'deadline' && repeatable) channel.send({ type: 'cancel', attemptId })
    return outcome
  } finally {
    signal.removeEventListener('abort', leave)
    channel.close()
  }
}
