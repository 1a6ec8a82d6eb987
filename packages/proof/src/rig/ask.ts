import { randomUUID } from 'node:crypto'
import { createTimerService, sleep } from '@figmount/base'
import { RunState } from '@figmount/schema'
import { expectedTokens } from '@figmount/standin'

import { callOnce } from './callOnce.js'

import type { AskOutcome, AskPlan, CallOutcome } from './callTypes.js'

const timers = createTimerService()

/** Time after which a caller that never gives up fails its test after all. */
const ASK_MS = 60_000

/** Wait before a resend when a refusal names none or the connection broke. */
const RESEND_MS = 200

/** True when the caller is to send the request again: nothing ran, or running it twice does no harm. */
const isWorthResending = (plan: AskPlan, outcome: CallOutcome): boolean => {
  if (outcome.kind === 'answered') return false
  if (outcome.kind === 'broken') return true
  const refusal = outcome.refusal
  if (!refusal || refusal.retryAfterMs === 0) return false
  return plan.repeatable !== false || refusal.runState === RunState.NOT_RUN
}

/** Sends a request with the same key until it is answered or coming back is of no use; each send goes to the next router. */
export const ask = async (addresses: () => readonly string[], plan: AskPlan, timeoutMs = ASK_MS): Promise<AskOutcome> => {
  const startedMs = timers.nowMs()
  const issuedAtMs = plan.issuedAtMs ?? timers.unixMs()
  const keyed = { ...plan, issuedAtMs, requestKey: plan.requestKey ?? randomUUID() }
  const sends: CallOutcome[] = []
  const firstRouter = addresses().length > 0 ? sendOffset(keyed.requestKey) : 0
  for (;;) {
    const known = addresses()
    const address = known[(firstRouter + sends.length) % Math.max(1, known.length)]
    const last = await callOnce(address ?? '127.0.0.1:1', { ...keyed, resendCount: sends.length })
    sends.push(last)
    const spentMs = timers.nowMs() - startedMs
    if (!isWorthResending(plan, last) || spentMs > timeoutMs) return { plan: keyed, last, sends, totalMs: spentMs }
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
