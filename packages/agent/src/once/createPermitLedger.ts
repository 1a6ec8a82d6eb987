import { KEY_RETENTION_MS } from '@figmount/records'
import { RefusalReason, RunState } from '@figmount/schema'

import { AgentEvent } from '../events.js'
import { judgePermit } from './judgePermit.js'

import type { AttemptId, EventLog, Incarnation, InstanceName, ModelId, TimerService } from '@figmount/base'
import type { Permit, PermitReply } from '@figmount/peers'
import type { Authority } from '../authority/judgeAuthority.js'
import type { HeldKeys } from '../rights/types.js'
import type { KeyedRequest, KeyName, PermitEntry, Tenure } from './types.js'

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly instance: InstanceName
  readonly maxKeys: number
  readonly heldKeys: (target: ModelId) => HeldKeys | undefined
  readonly tenure: (target: ModelId) => Tenure | undefined
  readonly authority: () => Authority
  readonly isListed: () => boolean
  readonly isDraining: () => boolean
}

interface PermitRequest {
  readonly target: ModelId
  readonly request: KeyedRequest
  readonly attemptId: AttemptId
  readonly executor: InstanceName
  readonly executorIncarnation: Incarnation
}

/** The permits granted by the holder of `keys` rights, stored for KEY_RETENTION_MS: until any resend is refused as too old. */
export interface PermitLedger {
  readonly ask: (ask: PermitRequest) => PermitReply
  /** Withdraws a permit under which nothing ran; ignored if the key belongs to another attempt. */
  readonly withdraw: (key: KeyName, attemptId: AttemptId) => void
  readonly sweep: () => void
  readonly count: () => number
}

const keyText = ({ target, caller, requestKey }: KeyName): string => `${target}\n${caller}\n${requestKey}`

/** Creates the permit ledger of one agent. */
export const createPermitLedger = (options: Options): PermitLedger => {
  const { timers, events, instance, maxKeys } = options
  const entries = new Map<string, PermitEntry>()

  const grant = (key: string, { target, request, attemptId, executor, executorIncarnation }: PermitRequest, keys: HeldKeys): Permit => {
    const permit: Permit = {
      caller: request.caller,
      requestKey: request.requestKey,
      attemptId,
      executor,
      executorIncarnation,
      keysHolder: instance,
      keysFence: keys.fence
    }
    // When the entry is removed, a resend is refused as too old, even if the clock was set back within its error bound.
    entries.set(key, { permit, target, forgetAtUnixMs: Math.max(request.issuedAtMs, timers.unixMs()) + KEY_RETENTION_MS })
    return permit
  }

  return {
    ask: ask => {
      const { target, request, attemptId } = ask
      const key = keyText({ target, caller: request.caller, requestKey: request.requestKey })
      const fields = { caller: request.caller, requestKey: request.requestKey, attemptId, model: target, repeatable: false }
      const known = entries.get(key)?.permit
      if (known) {
        if (known.attemptId === attemptId) return { kind: 'granted', permit: known }
        return { kind: 'known', attemptId: known.attemptId, executor: known.executor }
      }
      const keys = options.heldKeys(target)
      const verdict = judgePermit({
        issuedAtMs: request.issuedAtMs,
        resendCount: request.resendCount,
        nowUnixMs: timers.unixMs(),
        tenure: options.tenure(target),
        authority: options.authority(),
        isListed: options.isListed(),
        draining: options.isDraining(),
        isFull: entries.size >= maxKeys
      })
      if (verdict.kind === 'refuse' || !keys) {
        const refusal = verdict.kind === 'refuse'
          ? { ...verdict.refusal, peer: instance }
          : { runState: RunState.MAY_HAVE_RUN, reason: RefusalReason.UNAVAILABLE, retryAfterMs: 0, detail: 'no right', step: 'once.permit', peer: instance }
        events.emit(AgentEvent.permitRefused, { ...fields, runState: RunState[refusal.runState], reason: RefusalReason[refusal.reason], detail: refusal.detail, retryAfterMs: refusal.retryAfterMs })
        return { kind: 'refused', refusal }
      }
      const permit = grant(key, ask, keys)
      events.emit(AgentEvent.permitGranted, { ...fields, peer: ask.executor, fence: keys.fence })
      return { kind: 'granted', permit }
    },
    withdraw: (key, attemptId) => {
      const text = keyText(key)
      if (entries.get(text)?.permit.attemptId !== attemptId) return
      entries.delete(text)
      events.emit(AgentEvent.permitWithdrawn, { caller: key.caller, requestKey: key.requestKey, attemptId, model: key.target })
    },
    sweep: () => {
      const nowUnixMs = timers.unixMs()
      for (const [key, entry] of entries) {
        if (entry.forgetAtUnixMs < nowUnixMs) entries.delete(key)
      }
    },
    count: () => entries.size
  }
}
