import { match } from 'ts-pattern'
import { RefusalReason, RunState } from '@figmount/schema'

import { RouterEvent } from '../events.js'
import { DEFAULT_RETRY_AFTER_MS, MAX_ATTEMPTS } from './constants.js'
import { choosePlacement } from './choosePlacement.js'
import { chooseRetry } from './chooseRetry.js'
import { noteSend } from './noteSend.js'
import { mayHaveRun, notRun, truthful } from './refusals.js'
import { runAttempt } from './runAttempt.js'
import { waitWithFrames } from './waitWithFrames.js'

import type { InstanceName } from '@figmount/base'
import type { RefusalNote } from '@figmount/peers'
import type { AnswerPart } from '../answers/types.js'
import type { AdmittedRequest, AttemptOutcome, ServeContext, ServeProgress } from './types.js'

const NO_PROGRESS: ServeProgress = { tokens: [], excluded: new Set(), attemptCount: 0, lossCount: 0, mayHaveRun: false }

/** Refusals of one agent that say nothing about the others. */
const ELSEWHERE_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.OVERLOADED,
  RefusalReason.UNAVAILABLE,
  RefusalReason.STOPPING,
  RefusalReason.LOAD_FAILED,
  RefusalReason.ANSWER_LOST
])

const exclude = (progress: ServeProgress, agent: InstanceName): ReadonlySet<InstanceName> => new Set([...progress.excluded, agent])

/** What one attempt's end means for the next. */
export const afterAttempt = (progress: ServeProgress, agent: InstanceName, outcome: AttemptOutcome): ServeProgress => {
  const counted = { ...progress, attemptCount: progress.attemptCount + 1 }
  return match(outcome)
    .returnType<ServeProgress>()
    .with({ kind: 'answered' }, { kind: 'callerLeft' }, () => counted)
    .with({ kind: 'unsent' }, () => ({ ...counted, excluded: exclude(progress, agent) }))
    // Guards against refusing for want of another replica what merely got lost on its way: an agent that
    // answers that it does not know the attempt is there, so it may be asked once more.
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

const deadlineNote = (agent: InstanceName | ''): RefusalNote => notRun({
  reason: RefusalReason.DEADLINE,
  detail: 'the deadline has passed',
  step: 'requests.serve',
  peer: agent,
  retryAfterMs: DEFAULT_RETRY_AFTER_MS
})

/** A refusal as the caller is to hear it, with everything that has happened to its request. */
const finalNote = (note: RefusalNote, admitted: AdmittedRequest, progress: ServeProgress): RefusalNote => {
  if (progress.tokens.length > 0) return { ...note, runState: RunState.RAN }
  if (progress.mayHaveRun && note.runState === RunState.NOT_RUN) return { ...note, runState: RunState.MAY_HAVE_RUN }
  return truthful(note, admitted.run.resendCount)
}

const noteOf = (context: ServeContext, admitted: AdmittedRequest, outcome: AttemptOutcome): RefusalNote | undefined =>
  match(outcome)
    .returnType<RefusalNote | undefined>()
    .with({ kind: 'answered' }, { kind: 'callerLeft' }, () => undefined)
    .with({ kind: 'deadline' }, ({ agent }) => deadlineNote(agent))
    .with({ kind: 'refused' }, ({ note }) => note)
    .with({ kind: 'lost' }, { kind: 'unsent' }, ({ agent, detail }) => mayHaveRun({
      reason: RefusalReason.UNAVAILABLE,
      detail,
      step: 'requests.serve',
      peer: agent,
      retryAfterMs: chooseRetry(context, DEFAULT_RETRY_AFTER_MS, admitted.run.resendCount)
    }))
    .exhaustive()

/**
 * True if another agent may be tried. What was lost goes on elsewhere in any case, because its
 * caller may have part of the answer; what was refused only within the retry budgets.
 */
const mayGoElsewhere = (context: ServeContext, { run }: AdmittedRequest, outcome: AttemptOutcome): boolean => {
  if (outcome.kind === 'lost' || outcome.kind === 'unsent') return true
  if (outcome.kind !== 'refused' || !ELSEWHERE_REASONS.has(outcome.note.reason)) return false
  return context.budgets.spend(run.caller, run.service, context.timers.nowMs())
}

/** Refuses a request that is suspected of bringing down engines too often. */
export const quarantineNote = (context: ServeContext, { run }: AdmittedRequest): RefusalNote | undefined => {
  if (context.suspects.verdictOf(run.fingerprint) !== 'convicted') return undefined
  context.events.emit(RouterEvent.suspectRefused, { caller: run.caller, requestKey: run.requestKey, model: run.model, detail: run.fingerprint })
  return notRun({
    reason: RefusalReason.QUARANTINED,
    detail: 'backend servers went down while they ran this request',
    step: 'suspects.check'
  })
}

/**
 * Serves a request that may be repeated: when its agent is lost it is started elsewhere
 * behind the tokens that the caller has, and the caller sees one unbroken answer.
 */
export const serveRepeatable = async function * (context: ServeContext, admitted: AdmittedRequest, signal: AbortSignal): AsyncGenerator<AnswerPart> {
  const tokens: string[] = []
  let progress: ServeProgress = { ...NO_PROGRESS, tokens }
  let lastNote: RefusalNote | undefined
  context.budgets.credit(admitted.run.caller, admitted.run.service, context.timers.nowMs())

  while (!signal.aborted) {
    const quarantined = quarantineNote(context, admitted)
    if (quarantined) return yield { kind: 'refusal', note: finalNote(quarantined, admitted, progress) }
    if (context.timers.nowMs() >= admitted.deadlineAtMs) return yield { kind: 'refusal', note: finalNote(deadlineNote(''), admitted, progress) }
    const placement = yield * waitWithFrames(context.timers, choosePlacement(context, admitted, progress))
    if (placement.kind === 'refuse') return yield { kind: 'refusal', note: finalNote(lastNote ?? placement.note, admitted, progress) }
    const forgetSend = noteSend(context, admitted, placement.candidate.instance)
    const agent = placement.candidate.instance
    const parts = runAttempt({
      context, admitted, agent, attemptId: context.newAttemptId(), doneTokens: [...tokens], joins: false, restarts: progress.attemptCount > 0, signal
    })
    const outcome = yield * keepTokens(parts, tokens)
    forgetSend()
    progress = afterAttempt(progress, agent, outcome)
    const note = noteOf(context, admitted, outcome)
    if (!note) return
    if (outcome.kind === 'lost') context.events.emit(RouterEvent.attemptLost, { caller: admitted.run.caller, requestKey: admitted.run.requestKey, peer: agent, reason: outcome.detail })
    lastNote = note
    if (progress.attemptCount >= MAX_ATTEMPTS || !mayGoElsewhere(context, admitted, outcome)) return yield { kind: 'refusal', note: finalNote(note, admitted, progress) }
  }
}

/** Passes parts on and remembers the tokens, for a start elsewhere. */
const keepTokens = async function * (parts: AsyncGenerator<AnswerPart, AttemptOutcome>, tokens: string[]): AsyncGenerator<AnswerPart, AttemptOutcome> {
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
