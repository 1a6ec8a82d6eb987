import { lateShare, requestsInHorizon } from '@figmount/decisions'
import { findEngine } from '@figmount/fleet'

import { requestReplica } from './requestReplica.js'

import type { TimerService } from '@figmount/base'
import type { KnownServer } from '../directory/types.js'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'

/** Fraction of a route's latency objective that requests may queue before another replica is requested. */
const QUEUE_SHARE = 0.3

const MS_PER_S = 1_000

/** Minimum time between two requests of one router for replicas of a model: a copy on disk is loaded in less. */
const REQUEST_PERIOD_MS = 400

/**
 * Lifetime of a want for a replica because of a queue. It is renewed while the queue lasts; with a longer lifetime the replica would be
 * loaded although another engine has relieved the queue.
 */
const QUEUE_WANT_MS = 2_000

/** Requests additional replicas of models whose requests queue. */
export interface QueueScaler {
  /** Requests a replica if a request is expected to queue for too long, `queueMs`, on the best server that holds its model. */
  readonly note: (context: GatewayContext, request: RoutedRequest, servers: readonly KnownServer[], queueMs: number) => void
}

/**
 * Scales models by the expected queueing time of their requests.
 *
 * Load pattern: demand for a model that rises within a second. The request rate shows it only seconds later; the queue at its few
 * replicas shows it with the third request.
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
      const expectedCount = requestsInHorizon({ requestsPerS: context.demand.requestsPerS(modelName) * context.routerCount() })
      requestReplica(context, { spec: engine, model, servers, lateCount: expectedCount * lateShare(queueMs / MS_PER_S), reason: 'queue', timeLeftMs: QUEUE_WANT_MS })
    }
  }
}
