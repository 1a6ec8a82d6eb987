import { randomUUID } from 'node:crypto'
import { createTimerService, sleep } from '@figmount/base'
import { RunState } from '@figmount/schema'
import { expectedTokens } from '@figmount/standin'

import { callOnce } from './callOnce.js'

import type { AskOutcome, AskPlan, CallOutcome } from './callTypes.js'

const timers = createTimerService()

/** Time after which a caller that never gives up fails its test after all. */
const ASK_MS = 60_000

/** Address for a send while no router is known to run; nothing listens there. */
const NOWHERE = '127.0.0.1:1'

/** Wait before a resend when a refusal names none or the connection broke. */
const RESEND_MS = 200

type KeyedPlan = AskPlan & { readonly requestKey: string, readonly issuedAtMs: number, readonly resendCount: number }

/** True when the caller is to send the request again: its key makes that safe. */
const isWorthResending = (outcome: CallOutcome): boolean => {
  if (outcome.kind === 'answered') return false
  return outcome.kind === 'broken' || (outcome.refusal?.retryAfterMs ?? 0) > 0
}

/**
 * The next send. After a refusal that says "not run" the request is issued anew; a refusal that is
 * false shows as a second run of the same prompt. In all other cases the key stays the same.
 */
const nextSend = (plan: KeyedPlan, outcome: CallOutcome): KeyedPlan => {
  if (plan.repeatable === false && outcome.refusal?.runState === RunState.NOT_RUN) {
    return { ...plan, requestKey: randomUUID(), issuedAtMs: timers.unixMs(), resendCount: 0 }
  }
  return { ...plan, resendCount: plan.resendCount + 1 }
}

/** Sends a request until it is answered or coming back is of no use; each send goes to the next router. */
export const ask = async (addresses: () => readonly string[], plan: AskPlan, timeoutMs = ASK_MS): Promise<AskOutcome> => {
  const startedMs = timers.nowMs()
  let keyed: KeyedPlan = { resendCount: 0, ...plan, issuedAtMs: plan.issuedAtMs ?? timers.unixMs(), requestKey: plan.requestKey ?? randomUUID() }
  const firstRouter = sendOffset(keyed.requestKey)
  const sends: CallOutcome[] = []
  while (true) {
    const known = addresses()
    const address = known[(firstRouter + sends.length) % Math.max(1, known.length)]
    const last = await callOnce(address ?? NOWHERE, keyed)
    sends.push(last)
    const spentMs = timers.nowMs() - startedMs
    if (!isWorthResending(last) || spentMs > timeoutMs) return { plan: keyed, last, sends, totalMs: spentMs }
    keyed = nextSend(keyed, last)
    await sleep(timers, last.refusal?.retryAfterMs || RESEND_MS)
  }
}

/** Spreads callers over the routers as the platform's balancer does. */
const sendOffset = (requestKey: string): number => requestKey.charCodeAt(0) + requestKey.charCodeAt(requestKey.length - 1)

/** What is wrong with an outcome that should be a whole answer; empty when nothing is. */
export const faultsOf = ({ plan, last, sends }: AskOutcome): readonly string[] => {
  const faults = sends.flatMap(send => send.faults)
  if (last.kind !== 'answered') {
    const why = last.refusal ? `refused: ${last.refusal.detail} at ${last.refusal.step}` : last.error ?? 'broken'
    return [...faults, `${plan.prompt}: no answer, ${why}`]
  }
  const version = last.final?.version ?? ''
  const source = { model: `${plan.service}/${plan.model}`, version, adapter: plan.adapter ?? '', prompt: plan.prompt }
  const expected = expectedTokens(source, plan.maxTokens ?? 8)
  if (expected.join('') === last.tokens.join('')) return faults
  return [...faults, `${plan.prompt}: wrong tokens ${JSON.stringify(last.tokens)}`]
}
