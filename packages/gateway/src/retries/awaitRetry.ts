import { sleep } from '@figmount/base'
import { planWait } from '@figmount/decisions'

import { GatewayEvent } from '../events.js'

import type { EventKind } from '@figmount/base'
import type { ServerStart } from '@figmount/fleet'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'
import type { TakenRetry } from './createRetryBudget.js'

/** How often a request that waits for a retry looks whether it may have one. */
const CHECK_PERIOD_MS = 50

/**
 * Failure share of a server from which on no request waits for a retry there: its last two failed, and a wait would end with another
 * refusal.
 */
const MAX_FAILURE_SHARE = 0.4

/** A retry that a request wants. */
export interface WantedRetry {
  readonly start: ServerStart
  /** Sends of the request before. */
  readonly sendCount: number
  /** Time until the caller leaves, or a stopping router no longer sends it. */
  readonly leftMs: () => number
}

/** A retry, if the request may have one in time. */
export interface GrantedRetry {
  readonly retry: TakenRetry | undefined
  /** Servers have to be compared again. */
  readonly hasWaited: boolean
}

/** Takes a retry for a request, after a wait for it if the server chosen is well and the caller has the time. */
export const awaitRetry = async (context: GatewayContext, request: RoutedRequest, wanted: WantedRetry): Promise<GrantedRetry> => {
  const { budget, directory, events, timers } = context
  const { serviceName } = request
  const { start, sendCount, leftMs } = wanted
  const turn = budget.openTurn(serviceName, request.priority)
  const beganMs = timers.nowMs()

  const note = (kind: EventKind, waitMs: number): void => {
    const { requestCount: _, maxRetryCount, upForMs, countedForMs, ...counts } = budget.inputs(serviceName)
    events.emit(kind, {
      requestKey: request.caller.requestId,
      service: serviceName,
      peer: start.serverId,
      count: sendCount,
      ...counts,
      maxRetryCount: Math.round(maxRetryCount * 10) / 10,
      upForMs: Math.round(upForMs),
      countedForMs: Math.round(countedForMs),
      ...(Number.isFinite(waitMs) ? { waitMs: Math.round(waitMs) } : {})
    })
  }

  const isWell = (): boolean => {
    const server = directory.find(start.serverId)
    return server !== undefined && directory.failureShareOf(server) < MAX_FAILURE_SHARE
  }

  const deny = (waitMs: number, hasWaited: boolean): GrantedRetry => {
    context.metrics.count(`retries_denied_total{service="${serviceName}"}`)
    note(GatewayEvent.retryDenied, waitMs)
    return { retry: undefined, hasWaited }
  }

  let hasWaited = false
  try {
    for (;;) {
      const waitMs = turn.waitMs()
      if (waitMs === 0) {
        note(GatewayEvent.requestRepeated, timers.nowMs() - beganMs)
        return { retry: turn.take(), hasWaited }
      }
      if (request.callerLeft.aborted || !isWell() || planWait({ readyInMs: waitMs, leftMs: leftMs() }).isHopeless) return deny(waitMs, hasWaited)
      if (!hasWaited) note(GatewayEvent.retryAwaited, waitMs)
      hasWaited = true
      turn.wait()
      await sleep(timers, Math.min(waitMs, CHECK_PERIOD_MS), request.callerLeft)
    }
  } finally {
    turn.end()
  }
}
