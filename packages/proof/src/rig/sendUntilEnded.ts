import { randomUUID } from 'node:crypto'
import { createTimerService, sleep } from '@figmount/base'
import { RunState } from '@figmount/schema'
import { expectedTokens } from '@figmount/standin'

import { callOnce } from './callOnce.js'

import type { RequestOutcome, RequestPlan, CallOutcome } from './callTypes.js'

const timers = createTimerService()

/** Time limit for callers without a limit of their own, so that a test cannot hang. */
const GIVE_UP_MS = 60_000

/** Address used while no router is running; nothing listens there, so the send fails and is retried. */
const UNREACHABLE_ADDRESS = '127.0.0.1:1'

/** Wait before a resend when the refusal has no retry time or the connection broke. */
const RESEND_WAIT_MS = 200

type KeyedPlan = RequestPlan & { readonly requestKey: string, readonly issuedAtMs: number, readonly resendCount: number }

/** True when the request must be sent again; its request key makes that safe. */
const shouldResend = (outcome: CallOutcome): boolean => {
  if (outcome.kind === 'answered') return false
  return outcome.kind === 'broken' || (outcome.refusal?.retryAfterMs ?? 0) > 0
}

/**
 * Plans the next send. After a "not run" refusal the request gets a new key; if that refusal was wrong, the
 * prompt shows up as run twice. In all other cases the key stays the same.
 */
const planResend = (plan: KeyedPlan, outcome: CallOutcome): KeyedPlan => {
  if (plan.repeatable === false && outcome.refusal?.runState === RunState.NOT_RUN) {
    return { ...plan, requestKey: randomUUID(), issuedAtMs: timers.unixMs(), resendCount: 0 }
  }
  return { ...plan, resendCount: plan.resendCount + 1 }
}

/** Sends a request until it is answered, refused without a retry time, or out of time; each send goes to the next router. */
export const sendUntilEnded = async (addresses: () => readonly string[], plan: RequestPlan, timeoutMs = GIVE_UP_MS): Promise<RequestOutcome> => {
  const startedMs = timers.nowMs()
  let keyed: KeyedPlan = { resendCount: 0, ...plan, issuedAtMs: plan.issuedAtMs ?? timers.unixMs(), requestKey: plan.requestKey ?? randomUUID() }
  const firstRouter = routerOffset(keyed.requestKey)
  const sends: CallOutcome[] = []
  while (true) {
    const routers = addresses()
    const address = routers[(firstRouter + sends.length) % Math.max(1, routers.length)]
    const last = await callOnce(address ?? UNREACHABLE_ADDRESS, keyed)
    sends.push(last)
    const spentMs = timers.nowMs() - startedMs
    if (!shouldResend(last) || spentMs > timeoutMs) return { plan: keyed, last, sends, totalMs: spentMs }
    keyed = planResend(keyed, last)
    await sleep(timers, last.refusal?.retryAfterMs || RESEND_WAIT_MS)
  }
}

/** Picks the first router by the request key, which spreads callers over the routers as the platform's balancer does. */
const routerOffset = (requestKey: string): number => requestKey.charCodeAt(0) + requestKey.charCodeAt(requestKey.length - 1)

/** Lists what is wrong with an outcome that should be a complete answer; empty if nothing is. */
export const listAnswerFaults = ({ plan, last, sends }: RequestOutcome): readonly string[] => {
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
