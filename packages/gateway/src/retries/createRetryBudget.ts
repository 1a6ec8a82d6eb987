import { mayRepeat } from '@figmount/decisions'

import type { TimerService } from '@figmount/base'
import type { RetryLimits } from '@figmount/decisions'

interface ServiceHistory {
  readonly requestTimesMs: number[]
  readonly repeatTimesMs: number[]
}

/** Retries that this router may still send, by service. */
export interface RetryBudget {
  readonly noteRequest: (serviceName: string) => void
  /** Takes one retry from the budget; returns false if none is left. */
  readonly takeRetry: (serviceName: string, routerCount: number) => boolean
}

/** Creates the retry budget of one router. */
export const createRetryBudget = (limits: RetryLimits, timers: TimerService): RetryBudget => {
  const histories = new Map<string, ServiceHistory>()

  const historyOf = (serviceName: string): ServiceHistory => {
    const known = histories.get(serviceName)
    if (known) return known
    const made = { requestTimesMs: [], repeatTimesMs: [] }
    histories.set(serviceName, made)
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

  return {
    noteRequest: serviceName => { trimmed(serviceName).requestTimesMs.push(timers.nowMs()) },
    takeRetry: (serviceName, routerCount) => {
      const history = trimmed(serviceName)
      if (!mayRepeat(limits, history, routerCount, timers.nowMs())) return false
      history.repeatTimesMs.push(timers.nowMs())
      return true
    }
  }
}
