import { sleep } from '@figmount/base'
import { judgeRequest, planWait } from '@figmount/decisions'

import { DEADLY_PART_REASON, DEADLY_REASON, DEADLY_RETRY_MS, DEATH_CHECK_PERIOD_MS } from './constants.js'

import type { GatewayContext, RoutedRequest } from '../requests/types.js'

/** What becomes of a request by the servers that died under it, or under parts of its prompt. */
export type CrashCheck =
  | { readonly type: 'run' }
  /** It has waited for a while, as it may be the cause or not. */
  | { readonly type: 'waited' }
  | { readonly type: 'refused', readonly reason: string, readonly retryAfterMs: number }

/** Checks a request before it is sent; its caller leaves in `leftMs`. A request that may be the cause of deaths waits, for a short while at a time. */
export const checkCrashes = async ({ timers, crashes, partGuard }: GatewayContext, request: RoutedRequest, leftMs: number): Promise<CrashCheck> => {
  const wait = async (waitMs: number, reason: string): Promise<CrashCheck> => {
    if (planWait({ readyInMs: waitMs, leftMs }).isHopeless) return { type: 'refused', reason, retryAfterMs: waitMs }
    await sleep(timers, Math.min(waitMs, DEATH_CHECK_PERIOD_MS), request.callerLeft)
    return { type: 'waited' }
  }

  const verdict = judgeRequest(crashes.countsOf(request.identity))
  if (verdict.type === 'deadly') return { type: 'refused', reason: DEADLY_REASON, retryAfterMs: DEADLY_RETRY_MS }
  if (verdict.type === 'wait') return await wait(verdict.waitMs, DEADLY_REASON)
  const promptVerdict = partGuard.judge(request.caller)
  if (promptVerdict.type === 'deadly') return { type: 'refused', reason: DEADLY_PART_REASON, retryAfterMs: promptVerdict.retryAfterMs }
  if (promptVerdict.type === 'wait') return await wait(promptVerdict.waitMs, DEADLY_PART_REASON)
  return { type: 'run' }
}
