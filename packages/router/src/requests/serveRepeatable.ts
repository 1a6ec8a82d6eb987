import { match } from 'ts-pattern'
import { RefusalReason, RunState } from '@figmount/schema'

import { RouterEvent } from '../events.js'
import { DEFAULT_RETRY_AFTER_MS, MAX_ATTEMPTS } from './constants.js'
import { choosePlacement } from './choosePlacement.js'
import { chooseRetryAfterMs } from './chooseRetryAfterMs.js'
import { trackSend } from './trackSend.js'
import { mayHaveRun, notRun, correctRunState } from './refusals.js'
import { runAttempt } from './runAttempt.js'
import { awaitWithWaitingFrames } from './awaitWithWaitingFrames.js'

import type { InstanceName } from '@figmount/base'
import type { RefusalNote } from '@figmount/peers'
import type { AnswerPart } from '../answers/types.js'
import type { AdmittedRequest, AttemptOutcome, ServeContext, ServeProgress } from './types.js'

const NO_PROGRESS: ServeProgress = { tokens: [], excluded: new Set(), attemptCount: 0, lossCount: 0, mayHaveRun: false }

/** Reasons for a refusal that apply to one agent only, so that another agent may still accept the request. */
const RETRYABLE_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.OVERLOADED,
  RefusalReason.UNAVAILABLE,
  RefusalReason.STOPPING,
  RefusalReason.LOAD_FAILED,
  RefusalReason.ANSWER_LOST
])

const exclude = (progress: ServeProgress, agent: InstanceName): ReadonlySet<InstanceName> => new Set([...progress.excluded, agent])

/** Updates the progress of a request with the outcome of an attempt. */
export const applyOutcome = (progress: ServeProgress, agent: InstanceName, outcome: AttemptOutcome): ServeProgress => {
  const counted = { ...progress, attemptCount: progress.attemptCount + 1 }
  return match(outcome)
    .returnType<ServeProgress>()
    .with({ kind: 'answered' }, { kind: 'callerLeft' }, () => counted)
    .with({ kind: 'unsent' }, () => ({ ...counted, excluded: exclude(progress, agent) }))
    // An agent that reports the attempt as unknown is reachable; the start message may have been lost in transit.
    // It may be tried once more, so that a request with a single replica is not refused.
    .with({ kind: 'lost', isKnownLost: true }, () => ({
      ...counted,
      excluded: progress.lossCount === 0 ? progress.excluded : exclude(progress, agent),
      lossCount: progress.lossCount + 1,
      mayHaveRun: true
    }))
    .with({ kind: 'lost' }, { kind: 'deadline' }, () =>
      ({ ...counted, excluded: exclude(progress, agent), lossCount: progress.lossCount + 1, mayHaveRun: true }))
    .with({ kind: 'refused' }, ({ note }) => ({
      ...counted,
      excluded: exclude(progress, agent),
      mayHaveRun: progress.mayHaveRun || note.runState !== RunState.NOT_RUN
    }))
    .exhaustive()
}

const deadlineRefusal = (agent: InstanceName | ''): RefusalNote => notRun({
  reason: RefusalReason.DEADLINE,
  detail: 'the deadline has passed',
  step: 'requests.serve',
  peer: agent,
  retryAfterMs: DEFAULT_RETRY_AFTER_MS
})

/** Sets the run state of the refusal sent to the caller, taking all attempts of its request into account. */
const finalRefusal = (note: RefusalNote, admitted: AdmittedRequest, progress: ServeProgress): RefusalNote => {
  if (progress.tokens.length > 0) return { ...note, runState: RunState.RAN }
  if (progress.mayHaveRun && note.runState === RunState.NOT_RUN) return { ...note, runState: RunState.MAY_HAVE_RUN }
  return correctRunState(note, admitted.run.resendCount)
}

const refusalOf = (context: ServeContext, admitted: AdmittedRequest, outcome: AttemptOutcome): RefusalNote | undefined =>
  match(outcome)
    .returnType<RefusalNote | undefined>()
    .with({ kind: 'answered' }, { kind: 'callerLeft' }, () => undefined)
    .with({ kind: 'deadline' }, ({ agent }) => deadlineRefusal(agent))
    .with({ kind: 'refused' }, ({ note }) => note)
    .with({ kind: 'lost' }, { kind: 'unsent' }, ({ agent, detail }) => mayHaveRun({
      reason: RefusalReason.UNAVAILABLE,
      detail,
      step: 'requests.serve',
      peer: agent,
      retryAfterMs: chooseRetryAfterMs(context, DEFAULT_RETRY_AFTER_MS, admitted.run.resendCount)
    }))
    .exhaustive()

/**
 * True if another agent may be tried. A lost attempt is always retried, because the caller may have
 * part of the answer; a refused one only within the retry budgets.
 */
const mayRetryElsewhere = (context: ServeContext, { run }: AdmittedRequest, outcome: AttemptOutcome): boolean => {
  if (outcome.kind === 'lost' || outcome.kind === 'unsent') return true
  if (outcome.kind !== 'refused' || !RETRYABLE_REASONS.has(outcome.note.reason)) return false
  return context.budgets.spend(run.caller, run.service, context.timers.nowMs())
}

/** Returns a refusal if the request is quarantined because engines have repeatedly crashed while they ran it. */
export const quarantineRefusal = (context: ServeContext, { run }: AdmittedRequest): RefusalNote | undefined => {
  if (context.suspects.verdictOf(run.fingerprint) !== 'convicted') return undefined
  context.events.emit(RouterEvent.suspectRefused, { caller: run.caller, requestKey: run.requestKey, model: run.model, detail: run.fingerprint })
  return notRun({
    reason: RefusalReason.QUARANTINED,
    detail: 'backend servers went down while they ran this request',
    step: 'suspects.check'
  })
}

/**
 * Serves a repeatable request. If its agent is lost, the request is restarted on another agent after
 * the tokens already delivered, so that the caller receives one continuous answer.
 */
export const serveRepeatable = async function * (context: ServeContext, admitted: AdmittedRequest, signal: AbortSignal): AsyncGenerator<AnswerPart> {
  const tokens: string[] = []
  let progress: ServeProgress = { ...NO_PROGRESS, tokens }
  let lastNote: RefusalNote | undefined
  context.budgets.credit(admitted.run.caller, admitted.run.service, context.timers.nowMs())

  while (!signal.aborted) {
    const quarantined = quarantineRefusal(context, admitted)
    if (quarantined) return yield { kind: 'refusal', note: finalRefusal(quarantined, admitted, progress) }
    if (context.timers.nowMs() >= admitted.deadlineAtMs) return yield { kind: 'refusal', note: finalRefusal(deadlineRefusal(''), admitted, progress) }
    // Guards against an attempt for a caller that has left. Before the choice of an agent: its link may be lost meanwhile.
    await context.reads.pass(signal)
    // Connect reports that a caller has left one turn after the end of its connection was read.
    await context.reads.pass(signal)
    if (signal.aborted) return
    const placement = yield * awaitWithWaitingFrames(context.timers, choosePlacement(context, admitted, progress))
    if (placement.kind === 'refuse') return yield { kind: 'refusal', note: finalRefusal(lastNote ?? placement.note, admitted, progress) }
    const untrackSend = trackSend(context, admitted, placement.candidate.instance)
    const agent = placement.candidate.instance
    const parts = runAttempt({
      context, admitted, agent, attemptId: context.newAttemptId(), doneTokens: [...tokens], isJoin: false, restarts: progress.attemptCount > 0, signal
    })
    const outcome = yield * collectTokens(parts, tokens)
    untrackSend()
    progress = applyOutcome(progress, agent, outcome)
    const note = refusalOf(context, admitted, outcome)
    if (!note) return
    if (outcome.kind === 'lost') context.events.emit(RouterEvent.attemptLost, { caller: admitted.run.caller, requestKey: admitted.run.requestKey, peer: agent, reason: outcome.detail })
    lastNote = note
    if (progress.attemptCount >= MAX_ATTEMPTS || !mayRetryElsewhere(context, admitted, outcome)) return yield { kind: 'refusal', note: finalRefusal(note, admitted, progress) }
  }
}

/** Forwards the parts of an answer and collects their tokens for a restart on another agent. */
const collectTokens = async function * (parts: AsyncGenerator<AnswerPart, AttemptOutcome>, tokens: string[]): AsyncGenerator<AnswerPart, AttemptOutcome> {
  try {
    while (true) {
      const next = await parts.next()
      if (next.done) return next.value
      if (next.value.kind === 'tokens') tokens.push(...next.value.tokens)
      yield next.value
    }
  } finally {
    await parts.return({ kind: 'callerLeft' })
  }
}
