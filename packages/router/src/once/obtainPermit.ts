import { match } from 'ts-pattern'
import { sleep } from '@figmount/base'
import { RefusalReason } from '@figmount/schema'

import { RouterEvent } from '../events.js'
import { PERMIT_WAIT_MS } from '../links/constants.js'
import { DEFAULT_RETRY_AFTER_MS } from '../requests/constants.js'
import { chooseRetryAfterMs } from '../requests/chooseRetryAfterMs.js'
import { notRun, reasonName, runStateName } from '../requests/refusals.js'
import { PERMIT_RETRY_MS, HOLDER_TIMEOUT_MS } from './constants.js'

import type { AttemptId, EventFields, InstanceName } from '@figmount/base'
import type { PermitReply } from '@figmount/peers'
import type { PermitAsk } from '../links/types.js'
import type { AdmittedRequest, ServeContext } from '../requests/types.js'
import type { PermitDecision } from './types.js'

interface ObtainOptions {
  readonly context: ServeContext
  readonly admitted: AdmittedRequest
  readonly holder: InstanceName
  readonly executor: InstanceName
  readonly attemptId: AttemptId
}

const fieldsOf = ({ admitted, holder, attemptId }: ObtainOptions): EventFields => ({
  caller: admitted.run.caller, requestKey: admitted.run.requestKey, model: admitted.run.model, attemptId, peer: holder
})

const askOf = ({ context, admitted, executor, attemptId }: ObtainOptions): PermitAsk => {
  const { prompt, plain, ...run } = admitted.run
  const executorIncarnation = context.links.viewOf(executor)?.incarnation
  return {
    attemptId,
    executor,
    executorIncarnation: executorIncarnation ?? '' as NonNullable<typeof executorIncarnation>,
    request: { ...run, suspect: false, remainingMs: Math.max(0, Math.round(admitted.deadlineAtMs - context.timers.nowMs())) }
  }
}

const holderUnreachable = ({ context, admitted, holder }: ObtainOptions, detail: string): PermitDecision => ({
  kind: 'refuse',
  isDecided: false,
  note: notRun({
    reason: RefusalReason.UNAVAILABLE,
    detail,
    step: 'once.permit',
    peer: holder,
    retryAfterMs: chooseRetryAfterMs(context, DEFAULT_RETRY_AFTER_MS, admitted.run.resendCount)
  })
})

const decisionOf = (options: ObtainOptions, reply: PermitReply): PermitDecision => match(reply)
  .returnType<PermitDecision>()
  .with({ kind: 'granted' }, ({ permit }) => {
    options.context.events.emit(RouterEvent.permitGranted, fieldsOf(options))
    return { kind: 'start', attemptId: options.attemptId, executor: options.executor, permit }
  })
  .with({ kind: 'known' }, ({ attemptId, executor }) => ({ kind: 'join', attemptId, executor }))
  .with({ kind: 'refused' }, ({ refusal }) => {
    const { runState, reason, retryAfterMs } = refusal
    options.context.events.emit(RouterEvent.permitRefused, {
      ...fieldsOf(options), runState: runStateName(runState), reason: reasonName(reason), retryAfterMs
    })
    return { kind: 'refuse', note: refusal, isDecided: true }
  })
  .exhaustive()

/**
 * Requests a permit to start a request on `executor` from the holder of the keys right.
 *
 * The request is repeated with the same attempt id until a reply arrives. The holder stores the id,
 * so a lost reply is harmless. Without a reply nothing of this attempt can have run, because only
 * this router could start it.
 */
export const obtainPermit = async (options: ObtainOptions): Promise<PermitDecision> => {
  const { context, admitted, holder } = options
  const { timers } = context
  const link = context.links.linkTo(holder)
  const giveUpAtMs = Math.min(admitted.deadlineAtMs, timers.nowMs() + HOLDER_TIMEOUT_MS)
  let detail = 'the holder of the keys right cannot be reached'
  while (timers.nowMs() < giveUpAtMs) {
    const opened = await link.whenOpen(giveUpAtMs - timers.nowMs()).run()
    if (opened.isRight()) {
      context.events.emit(RouterEvent.permitAsked, fieldsOf(options))
      const reply = await link.askPermit(askOf(options), Math.min(PERMIT_WAIT_MS, giveUpAtMs - timers.nowMs())).run()
      if (reply.isRight()) return decisionOf(options, reply.unsafeCoerce())
    }
    detail = opened.swap().map(fault => fault.message).orDefault(detail)
    await sleep(timers, PERMIT_RETRY_MS)
  }
  return holderUnreachable(options, detail)
}
