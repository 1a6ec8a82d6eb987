import { QueueTuning } from './constants.js'

import type { FairnessState, WaitingRequest } from './types.js'

/**
 * When a request counts as arrived within its priority: the real time, put off by its length and by what its caller
 * (for its share) and its tenant were served of late. The least is served next. `nowWeight` is the weight of a token that
 * is served now, worked out once for a whole queue.
 */
export const virtualArrivalMs = (request: WaitingRequest, fairness: FairnessState, nowWeight: number): number => {
  const servedByTenant = fairness.servedByTenant.get(request.tenant) ?? 0
  const servedByCaller = fairness.servedByCaller.get(request.caller) ?? 0
  const servedTokens = (servedByTenant + servedByCaller) / nowWeight
  return request.arrivedAtMs + request.expectedTokens * QueueTuning.lengthWeightMs + servedTokens * QueueTuning.servedWeightMs
}
