import { QueueTuning } from './constants.js'

import type { FairnessState, WaitingRequest } from './types.js'

/**
 * Virtual arrival of a request within its priority: the actual arrival, delayed by the request's length and by the tokens that its
 * caller (divided by its share) and its tenant were served recently. The earliest is served next. `nowWeight` is the
 * weight of a token that is served now, computed once for a whole queue.
 */
export const virtualArrivalMs = (request: WaitingRequest, fairness: FairnessState, nowWeight: number): number => {
  const servedByTenant = fairness.servedByTenant.get(request.tenant) ?? 0
  const servedByCaller = fairness.servedByCaller.get(request.caller) ?? 0
  const servedTokens = (servedByTenant + servedByCaller) / nowWeight
  return request.arrivedAtMs + request.expectedTokens * QueueTuning.lengthWeightMs + servedTokens * QueueTuning.servedWeightMs
}
