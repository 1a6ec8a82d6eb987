import { maxRetries, mayRetry, retryWaitMs } from '@figmount/decisions'

import { isAhead } from '../requests/isAhead.js'

import type { Metrics, TimerService } from '@figmount/base'
import type { RetryLimits, RetryView } from '@figmount/decisions'
import type { Waiter } from '../requests/isAhead.js'
import type { RouterMembership } from '../router/createRouterMembership.js'

/** What is known of a request that was sent: whether it has reached its server. */
export type Arrival = 'certain' | 'unknown' | 'none'

/** A retry that was taken from the budget. It counts until it has left the window, which begins once it has arrived. */
export interface TakenRetry {
  readonly noteArrival: (arrival: Arrival) => void
}

/** What a decision on a retry is based on. Counts are those of this router. */
export interface RetryInputs extends RetryView {
  /** Retries that may be sent within the window. */
  readonly maxRetryCount: number
  /** Retries of which it is not known whether they have arrived. */
  readonly unansweredCount: number
}

/** A request that wants a retry, among those that wait for one. */
export interface RetryTurn {
  /** Time until the request may be retried, behind the more urgent and earlier ones that wait; Infinity if nothing tells. */
  readonly waitMs: () => number
  /** The request waits from now on. */
  readonly wait: () => void
  readonly take: () => TakenRetry
  /** The request no longer waits. */
  readonly end: () => void
}

/** Retries that this router may still send, by service. */
export interface RetryBudget {
  readonly noteRequest: (serviceName: string) => void
  readonly inputs: (serviceName: string) => RetryInputs
  /** `priority`: 0 is the most urgent. */
  readonly openTurn: (serviceName: string, priority: number) => RetryTurn
}

interface Options {
  readonly limits: RetryLimits
  readonly timers: TimerService
  readonly metrics: Metrics
  readonly membership: Pick<RouterMembership, 'routerCount' | 'countedForMs'>
}

interface SentRetry {
  /** Time at which it leaves the window; Infinity until it has arrived. */
  leavesMs: number
}

interface ServiceHistory {
  readonly requestTimesMs: number[]
  retries: readonly SentRetry[]
  readonly waiters: Set<Waiter>
}

/** Creates the retry budget of one router. */
export const createRetryBudget = ({ limits, timers, metrics, membership }: Options): RetryBudget => {
  const startedMs = timers.nowMs()
  const histories = new Map<string, ServiceHistory>()
  let waiterCount = 0

  const createHistory = (serviceName: string): ServiceHistory => {
    const made = { requestTimesMs: [], retries: [], waiters: new Set<Waiter>() }
    histories.set(serviceName, made)
    metrics.gauge(`retries_in_window{service="${serviceName}"}`, () => inputsOf(trimmed(serviceName)).retryCount)
    metrics.gauge(`retries_allowed{service="${serviceName}"}`, () => inputsOf(trimmed(serviceName)).maxRetryCount)
    return made
  }

  const trimmed = (serviceName: string): ServiceHistory => {
    const history = histories.get(serviceName) ?? createHistory(serviceName)
    const nowMs = timers.nowMs()
    const { requestTimesMs, retries } = history
    while (requestTimesMs.length > 0 && (requestTimesMs[0] ?? 0) <= nowMs - limits.windowMs) requestTimesMs.shift()
    if (retries.some(({ leavesMs }) => leavesMs <= nowMs)) history.retries = retries.filter(({ leavesMs }) => leavesMs > nowMs)
    return history
  }

  const viewOf = ({ requestTimesMs, retries }: ServiceHistory): RetryView => ({
    requestCount: requestTimesMs.length,
    retryCount: retries.length,
    upForMs: timers.nowMs() - startedMs,
    routerCount: membership.routerCount(),
    countedForMs: membership.countedForMs()
  })

  const inputsOf = (history: ServiceHistory): RetryInputs => {
    const view = viewOf(history)
    const unanswered = history.retries.filter(({ leavesMs }) => leavesMs === Infinity)
    return { ...view, maxRetryCount: maxRetries(limits, view), unansweredCount: unanswered.length }
  }

  const waitMs = (history: ServiceHistory, own: Waiter): number => {
    const view = viewOf(history)
    let aheadCount = 0
    for (const other of history.waiters) aheadCount += Number(isAhead(other, own))
    if (aheadCount === 0 && mayRetry(limits, view)) return 0
    const nowMs = timers.nowMs()
    return retryWaitMs(limits, view, aheadCount, history.retries.map(({ leavesMs }) => leavesMs - nowMs).sort((a, b) => a - b))
  }

  // Guards against retries on a link that stalls: sent over a long time, they arrive together when it heals. One that may still arrive counts
  // for a second window after its run has ended.
  const noteArrival = (retry: SentRetry, arrival: Arrival): void => {
    const windows = { certain: 1, unknown: 2, none: 0 }[arrival]
    retry.leavesMs = timers.nowMs() + windows * limits.windowMs
  }

  return {
    noteRequest: serviceName => { trimmed(serviceName).requestTimesMs.push(timers.nowMs()) },
    inputs: serviceName => inputsOf(trimmed(serviceName)),
    openTurn: (serviceName, priority) => {
      const own: Waiter = { priority, number: waiterCount++ }
      const end = (): void => { trimmed(serviceName).waiters.delete(own) }
      return {
        waitMs: () => waitMs(trimmed(serviceName), own),
        wait: () => { trimmed(serviceName).waiters.add(own) },
        take: () => {
          end()
          const history = trimmed(serviceName)
          const retry: SentRetry = { leavesMs: Infinity }
          history.retries = [...history.retries, retry]
          metrics.count(`retries_sent_total{service="${serviceName}"}`)
          return { noteArrival: arrival => { noteArrival(retry, arrival) } }
        },
        end
      }
    }
  }
}
