import { lateShare, requestsAhead } from '@figmount/decisions'
import { findEngine } from '@figmount/fleet'

import { requestReplica } from './requestReplica.js'

import type { TimerService } from '@figmount/base'
import type { KnownServer } from '../directory/types.js'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'

/** Part of a route's objective that requests may queue before another replica is asked for. */
const QUEUE_SHARE = 0.3

const MS_PER_S = 1_000

/** Time between two replicas of one model that a router asks for: a copy on disk is loaded in less. */
const REQUEST_PERIOD_MS = 400

/**
 * A replica that was asked for because of a queue is forgotten after this time. It is asked for again while the queue lasts; kept
 * for longer it would be loaded although another engine has relieved the queue.
 */
const QUEUE_WANT_MS = 2_000

/** Asks for replicas of models whose requests queue. */
export interface QueueScaler {
  /** Notes how long a request is expected to queue at the best server that holds its model. */
  readonly note: (context: GatewayContext, request: RoutedRequest, servers: readonly KnownServer[], queueMs: number) => void
}

/**
 * Watches the queues that requests meet.
 *
 * Load pattern: demand that jumps to a model within a second. The rate of requests shows it only seconds later; the
 * queue in front of its few replicas shows it with the third request.
 */
export const createQueueScaler = (timers: TimerService): QueueScaler => {
  const requestedMs = new Map<string, number>()
  return {
    note: (context, request, servers, queueMs) => {
      const { modelName } = request.caller
      if (queueMs < request.route.objectiveMs * QUEUE_SHARE) return
      if (timers.nowMs() - (requestedMs.get(modelName) ?? -Infinity) < REQUEST_PERIOD_MS) return
      const engine = findEngine(context.deployment(), request.serviceName)
      const model = engine?.models.find(candidate => candidate.name === modelName)
      if (!engine || !model) return
      requestedMs.set(modelName, timers.nowMs())
      const aheadCount = requestsAhead({ requestsPerS: context.demand.requestsPerS(modelName) * context.routerCount() })
      requestReplica(context, { spec: engine, model, servers, lateCount: aheadCount * lateShare(queueMs / MS_PER_S), reason: 'queue', timeLeftMs: QUEUE_WANT_MS })
    }
  }
}
