import { sleep } from '@figmount/base'
import { judgeRequest, planWait } from '@figmount/decisions'

import { DEADLY_RETRY_MS, DEATH_CHECK_PERIOD_MS } from './constants.js'

import type { GatewayContext, RoutedRequest } from '../requests/types.js'

/** What becomes of a request by the servers that died under it. */
export type CrashCheck =
  | { readonly type: 'run' }
  /** It has waited for a while, as it may be the cause or not. */
  | { readonly type: 'waited' }
  | { readonly type: 'refused', readonly retryAfterMs: number }

/** Checks a request before it is sent; its caller leaves in `leftMs`. A request that may be the cause of deaths waits, for a short while at a time. */
export const checkCrashes = async ({ timers, crashes }: GatewayContext, request: RoutedRequest, leftMs: number): Promise<CrashCheck> => {
  const verdict = judgeRequest(crashes.countsOf(request.identity))
  if (verdict.type === 'run') return verdict
  if (verdict.type === 'deadly') return { type: 'refused', retryAfterMs: DEADLY_RETRY_MS }
  const { waitMs } = verdict
  if (planWait({ readyInMs: waitMs, leftMs }).isHopeless) return { type: 'refused', retryAfterMs: waitMs }
  await sleep(timers, Math.min(waitMs, DEATH_CHECK_PERIOD_MS), request.callerLeft)
  return { type: 'waited' }
}
