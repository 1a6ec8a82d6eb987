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
import { MAX_UNKNOWN_RESENDS } from './constants.js'
import { obtainPermit } from './obtainPermit.js'

import type { InstanceName } from '@figmount/base'
import type { Permit, RefusalNote } from '@figmount/peers'
import type { AnswerPart } from '../answers/types.js'
import type { AdmittedRequest, AttemptOutcome, ServeContext, ServeProgress } from '../requests/types.js'
import type { PermitDecision } from './types.js'

const NO_PROGRESS: ServeProgress = { tokens: [], excluded: new Set(), attemptCount: 0, lossCount: 0, mayHaveRun: false }

const noHolderRefusal = (context: ServeContext, { run }: AdmittedRequest): RefusalNote => notRun({
  reason: RefusalReason.UNAVAILABLE,
  detail: `nobody holds the keys right of ${run.model}`,
  step: 'once.holder',
  retryAfterMs: chooseRetryAfterMs(context, DEFAULT_RETRY_AFTER_MS, run.resendCount)
})

/**
 * Decides whether and where a request may start.
 *
 * A first send whose executor holds the keys right needs no separate permit: the holder decides when
 * it receives `start`. A resend always requests one, because its key may be running elsewhere.
 */
const decideStart = async (context: ServeContext, admitted: AdmittedRequest): Promise<PermitDecision> => {
  const holder = findKeysRight(context.records.state(), admitted.run.model)?.holder
  if (!holder) return { kind: 'refuse', note: noHolderRefusal(context, admitted), isDecided: false }
  const placement = await choosePlacement(context, admitted, NO_PROGRESS)
  const isResend = admitted.run.resendCount > 0
  if (placement.kind === 'refuse' && !isResend) return { kind: 'refuse', note: placement.note, isDecided: false }
  // A resend with a known key joins its running attempt, so the permit is requested even if no agent has capacity.
  const executor = placement.kind === 'start' ? placement.candidate.instance : holder
  const attemptId = context.newAttemptId()
  if (executor === holder && !isResend) return { kind: 'start', attemptId, executor }
  return await obtainPermit({ context, admitted, holder, executor, attemptId })
}

/** Creates the refusal of a non-repeatable request whose outcome is unknown to this router. */
const unknownOutcomeRefusal = (agent: InstanceName, detail: string, reason: RefusalReason, retryAfterMs: number): RefusalNote =>
  mayHaveRun({ reason, detail, step: 'once.follow', peer: agent, retryAfterMs })

/**
 * Returns the retry delay after an executor has reported the attempt as unknown. On a resend the
 * holder of the keys right decides again: it permits a key whose start was lost in transit, and a
 * delayed start from another router may arrive in the meantime. After that no retry can learn more.
 */
const unknownAttemptRetryMs = (resendCount: number): number => resendCount < MAX_UNKNOWN_RESENDS ? DEFAULT_RETRY_AFTER_MS : 0

const refusalOf = (outcome: AttemptOutcome, isJoin: boolean, resendCount: number): RefusalNote | undefined => match(outcome)
  .returnType<RefusalNote | undefined>()
  .with({ kind: 'answered' }, { kind: 'callerLeft' }, () => undefined)
  .with({ kind: 'refused' }, ({ note }) => note)
  // The start message was not sent. An attempt that was to be joined may still be running.
  .with({ kind: 'unsent' }, ({ agent, detail }) => (isJoin ? mayHaveRun : notRun)({
    reason: RefusalReason.UNAVAILABLE, detail, step: 'once.start', peer: agent, retryAfterMs: DEFAULT_RETRY_AFTER_MS
  }))
  .with({ kind: 'lost', isKnownLost: true }, ({ agent, detail }) =>
    unknownOutcomeRefusal(agent, detail, RefusalReason.ANSWER_LOST, unknownAttemptRetryMs(resendCount)))
  .with({ kind: 'lost' }, ({ agent, detail }) => unknownOutcomeRefusal(agent, detail, RefusalReason.UNAVAILABLE, DEFAULT_RETRY_AFTER_MS))
  .with({ kind: 'deadline' }, ({ agent }) => unknownOutcomeRefusal(agent, 'the deadline has passed', RefusalReason.DEADLINE, DEFAULT_RETRY_AFTER_MS))
  .exhaustive()

/**
 * Withdraws a permit under which nothing ran. Otherwise the holder would treat the key as running,
 * and a resend would join an attempt that does not exist and be refused with "may have run".
 */
const withdrawPermit = (context: ServeContext, permit: Permit, { run }: AdmittedRequest): void => {
  const { attemptId, keysHolder } = permit
  context.links.linkTo(keysHolder).send({ type: 'permit.withdraw', target: run.model, caller: run.caller, requestKey: run.requestKey, attemptId })
}

/**
 * Serves a request that may run at most once. Only the holder of the keys right decides about a
 * start; an attempt that was sent is only resumed, never sent a second time.
 */
export const serveOnce = async function * (context: ServeContext, admitted: AdmittedRequest, signal: AbortSignal): AsyncGenerator<AnswerPart> {
  const { resendCount } = admitted.run
  const quarantined = quarantineRefusal(context, admitted)
  if (quarantined) return yield { kind: 'refusal', note: correctRunState(quarantined, resendCount) }
  const decision = yield * awaitWithWaitingFrames(context.timers, decideStart(context, admitted))
  if (decision.kind === 'refuse') return yield { kind: 'refusal', note: correctRunState(decision.note, resendCount, decision.isDecided) }
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
  if (permit && note?.runState === RunState.NOT_RUN) withdrawPermit(context, permit, admitted)
  if (note) yield { kind: 'refusal', note }
}
