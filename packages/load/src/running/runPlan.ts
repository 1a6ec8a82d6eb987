import { sleep } from '@figmount/base'

import type { TimerService } from '@figmount/base'
import type { PlannedRequest } from '../arrivals/types.js'
import type { RequestResult, RunProgress, SendRequest } from './types.js'

const PROGRESS_PERIOD_MS = 1_000

interface Options {
  readonly timers: TimerService
  readonly send: SendRequest
  readonly onProgress: (progress: RunProgress) => void
  /** Ends the run early; requests already sent run to their end. */
  readonly signal: AbortSignal
}

/** Results of a run; `partial` when it was aborted. */
export interface RunResults {
  readonly results: readonly RequestResult[]
  readonly partial: boolean
  readonly elapsedMs: number
}

/**
 * Sends every request at its planned time, independent of earlier ones (open loop). Latencies count from the
 * planned time, so that a stalled system or a busy tool cannot hide waiting (coordinated omission).
 */
export const runPlan = async (plan: readonly PlannedRequest[], options: Options): Promise<RunResults> => {
  const { timers, send, onProgress, signal } = options
  const startMs = timers.nowMs()
  const results: RequestResult[] = []
  const running: Array<Promise<void>> = []

  const stopProgress = timers.every(PROGRESS_PERIOD_MS, () => onProgress({
    elapsedMs: timers.nowMs() - startMs, sentCount: running.length, endedCount: results.length, plannedCount: plan.length
  }))

  const sendOne = async (request: PlannedRequest): Promise<void> => {
    const lateMs = Math.max(0, timers.nowMs() - startMs - request.atMs)
    const outcome = await send(request)
    results.push({ request, outcome, lateMs })
  }

  for (const request of plan) {
    const waitMs = startMs + request.atMs - timers.nowMs()
    if (waitMs > 0) await sleep(timers, waitMs, signal)
    if (signal.aborted) break
    running.push(sendOne(request))
  }
  await Promise.all(running)
  stopProgress()
  return { results, partial: running.length < plan.length, elapsedMs: timers.nowMs() - startMs }
}
