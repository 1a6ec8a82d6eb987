import { match } from 'ts-pattern'
import { findKeysRight } from '@figmount/records'
import { RefusalReason, RunState } from '@figmount/schema'

import { DEFAULT_RETRY_AFTER_MS, OPEN_WAIT_MS } from '../requests/constants.js'
import { choosePlacement } from '../requests/choosePlacement.js'
import { chooseRetryAfterMs } from '../requests/chooseRetryAfterMs.js'
import { trackSend } from '../requests/trackSend.js'
import { mayHaveRun, notRun, correctRunState } from '../requests/refusals.js'
import { runAttempt } from '../requests/runAttempt.js'
import { quarantineRefusal } from '../requests/serveRepeatable.js'
import { awaitWithWaitingFrames } from '../requests/awaitWithWaitingFrames.js'
import { UNKNOWN_RESENDS } from './constants.js'
import { obtainPermit } from './obtainPermit.js'

import type { InstanceName } from '@figmount/base'
import type { Permit, RefusalNote } from '@figmount/peers'
import type { AnswerPart } from '../answers/types.js'
import type { AdmittedRequest, AttemptOutcome, ServeContext, ServeProgress } from '../requests/types.js'
import type { PermitDecision } from './types.js'

const NO_PROGRESS: ServeProgress = { tokens: [], excluded: new Set(), attemptCount: 0, lossCount: 0, mayHaveRun: false }

const noHolder = (context: ServeContext, { run }: AdmittedRequest): RefusalNote => notRun({
  reason: RefusalReason.UNAVAILABLE,
  detail: `nobody holds the keys right of ${run.model}`,
  step: 'once.holder',
  retryAfterMs: chooseRetryAfterMs(context, DEFAULT_RETRY_AFTER_MS, run.resendCount)
})

/**
 * Finds out whether a request may start, and where.
 *
 * A first send whose executor holds the keys right needs no trip of its own: `start` asks and
 * begins in one. A resend always asks, because its key may run elsewhere.
 */
const decideStart = async (context: ServeContext, admitted: AdmittedRequest): Promise<PermitDecision> => {
  const holder = findKeysRight(context.records.state(), admitted.run.model)?.holder
  if (!holder) return { kind: 'refuse', note: noHolder(context, admitted), decided: false }
  const placement = await choosePlacement(context, admitted, NO_PROGRESS)
  const isResend = admitted.run.resendCount > 0
  if (placement.kind === 'refuse' && !isResend) return { kind: 'refuse', note: placement.note, decided: false }
  // A resend whose key is known is joined wherever it runs, so a full system must not keep it from asking.
  const executor = placement.kind === 'start' ? placement.candidate.instance : holder
  const attemptId = context.newAttemptId()
  if (executor === holder && !isResend) return { kind: 'start', attemptId, executor }
  return await obtainPermit({ context, admitted, holder, executor, attemptId })
}

/** What a caller is told when the outcome of an attempt that may not be repeated is not known here. */
const unknownOutcome = (agent: InstanceName, detail: string, reason: RefusalReason, retryAfterMs: number): RefusalNote =>
  mayHaveRun({ reason, detail, step: 'once.follow', peer: agent, retryAfterMs })

/**
 * When to come back after an executor has said that it does not know the attempt. The holder of
 * the keys decides anew on a resend: it permits a key whose start was lost on the way, and the
 * start that another router was about to send arrives meanwhile. After that nobody knows any more.
 */
const unknownRetryMs = (resendCount: number): number => resendCount < UNKNOWN_RESENDS ? DEFAULT_RETRY_AFTER_MS : 0

const refusalOf = (outcome: AttemptOutcome, isJoin: boolean, resendCount: number): RefusalNote | undefined => match(outcome)
  .returnType<RefusalNote | undefined>()
  .with({ kind: 'answered' }, { kind: 'callerLeft' }, () => undefined)
  .with({ kind: 'refused' }, ({ note }) => note)
  // Nothing left this router. What was to be joined may run all the same.
  .with({ kind: 'unsent' }, ({ agent, detail }) => (isJoin ? mayHaveRun : notRun)({
    reason: RefusalReason.UNAVAILABLE, detail, step: 'once.start', peer: agent, retryAfterMs: DEFAULT_RETRY_AFTER_MS
  }))
  .with({ kind: 'lost', isKnownLost: true }, ({ agent, detail }) =>
    unknownOutcome(agent, detail, RefusalReason.ANSWER_LOST, unknownRetryMs(resendCount)))
  .with({ kind: 'lost' }, ({ agent, detail }) => unknownOutcome(agent, detail, RefusalReason.UNAVAILABLE, DEFAULT_RETRY_AFTER_MS))
  .with({ kind: 'deadline' }, ({ agent }) => unknownOutcome(agent, 'the deadline has passed', RefusalReason.DEADLINE, DEFAULT_RETRY_AFTER_MS))
  .exhaustive()

/**
 * Gives a permit back under which nothing ran. Without it the holder takes the key for one that
 * runs, and a resend is joined to an attempt that does not exist: "may have run" without need.
 */
const withdraw = (context: ServeContext, permit: Permit, { run }: AdmittedRequest): void => {
  const { attemptId, keysHolder } = permit
  context.links.linkTo(keysHolder).send({ type: 'permit.withdraw', target: run.model, caller: run.caller, requestKey: run.requestKey, attemptId })
}

/**
 * Serves a request that may run at most once. The holder of the keys right decides alone;
 * once an attempt was sent, it is only ever asked for again and never sent a second time.
 */
export const serveOnce = async function * (context: ServeContext, admitted: AdmittedRequest, signal: AbortSignal): AsyncGenerator<AnswerPart> {
  const { resendCount } = admitted.run
  const quarantined = quarantineRefusal(context, admitted)
  if (quarantined) return yield { kind: 'refusal', note: correctRunState(quarantined, resendCount) }
  const decision = yield * awaitWithWaitingFrames(context.timers, decideStart(context, admitted))
  if (decision.kind === 'refuse') return yield { kind: 'refusal', note: correctRunState(decision.note, resendCount, decision.decided) }
  const { executor, attemptId } = decision
  const isJoin = decision.kind === 'join'
  yield * awaitWithWaitingFrames(context.timers, context.links.linkTo(executor).whenOpen(OPEN_WAIT_MS).run())
  const permit = decision.kind === 'start' ? decision.permit : undefined
  const untrackSend = isJoin ? undefined : trackSend(context, admitted, executor)
  const outcome = yield * runAttempt({
    context, admitted, agent: executor, attemptId, doneTokens: [], isJoin, restarts: false, signal, ...(permit ? { permit } : {})
  })
  untrackSend?.()
  const note = refusalOf(outcome, isJoin, resendCount)
  if (permit && note?.runState === RunState.NOT_RUN) withdraw(context, permit, admitted)
  if (note) yield { kind: 'refusal', note }
}
