import { countRetries, maxRetries, mayRepeat } from '@figmount/decisions'

import type { Metrics, TimerService } from '@figmount/base'
import type { RetryLimits } from '@figmount/decisions'

interface ServiceHistory {
  readonly requestTimesMs: number[]
  readonly repeatTimesMs: number[]
  /** Retries whose servers have not answered yet. */
  unansweredCount: number
}

/** Whether a request may be retried, and on what that was decided. Counts are those of this router. */
export interface RetryDecision {
  readonly isTaken: boolean
  /** Retries within the window, before this one. */
  readonly retryCount: number
  readonly maxRetryCount: number
  readonly unansweredCount: number
  readonly routerCount: number
  /** Time since this router started. */
  readonly upForMs: number
  /** The retry's server has answered, or its run has ended without an answer. */
  readonly settle: () => void
}

/** Retries that this router may still send, by service. */
export interface RetryBudget {
  readonly noteRequest: (serviceName: string) => void
  /** Takes one retry from the budget, if one is left. */
  readonly takeRetry: (serviceName: string) => RetryDecision
}

interface Options {
  readonly limits: RetryLimits
  readonly timers: TimerService
  readonly metrics: Metrics
  /** Number of routers that share the limits. */
  readonly routerCount: () => number
}

/** Creates the retry budget of one router. */
export const createRetryBudget = ({ limits, timers, metrics, routerCount }: Options): RetryBudget => {
  const startedMs = timers.nowMs()
  const histories = new Map<string, ServiceHistory>()

  const historyOf = (serviceName: string): ServiceHistory => {
    const known = histories.get(serviceName)
    if (known) return known
    const made = { requestTimesMs: [], repeatTimesMs: [], unansweredCount: 0 }
    histories.set(serviceName, made)
    metrics.gauge(`retries_in_window{service="${serviceName}"}`, () => countRetries(limits, made, timers.nowMs()))
    metrics.gauge(`retries_allowed{service="${serviceName}"}`, () => maxRetries(limits, made, routerCount(), timers.nowMs()))
    return made
  }

  const trim = (timesMs: number[], sinceMs: number): void => {
    while (timesMs.length > 0 && (timesMs[0] ?? 0) <= sinceMs) timesMs.shift()
  }

  const trimmed = (serviceName: string): ServiceHistory => {
    const history = historyOf(serviceName)
    const sinceMs = timers.nowMs() - limits.windowMs
    trim(history.requestTimesMs, sinceMs)
    trim(history.repeatTimesMs, sinceMs)
    return history
  }

  const take = (history: ServiceHistory): (() => void) => {
    let isOpen = true
    history.repeatTimesMs.push(timers.nowMs())
    history.unansweredCount += 1
    return () => {
      if (!isOpen) return
      isOpen = false
      history.unansweredCount -= 1
    }
  }

  return {
    noteRequest: serviceName => { trimmed(serviceName).requestTimesMs.push(timers.nowMs()) },
    takeRetry: serviceName => {
      const history = trimmed(serviceName)
      const nowMs = timers.nowMs()
      const seen = {
        retryCount: countRetries(limits, history, nowMs),
        maxRetryCount: maxRetries(limits, history, routerCount(), nowMs),
        unansweredCount: history.unansweredCount,
        routerCount: routerCount(),
        upForMs: Math.round(nowMs - startedMs)
      }
      const isTaken = mayRepeat(limits, history, routerCount(), nowMs)
      metrics.count(`${isTaken ? 'retries_sent_total' : 'retries_denied_total'}{service="${serviceName}"}`)
      return { isTaken, ...seen, settle: isTaken ? take(history) : () => {} }
    }
  }
}
