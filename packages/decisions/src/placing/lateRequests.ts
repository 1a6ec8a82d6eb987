import { LATE_HORIZON_S, LATE_WAIT_S, PROMPT_TOKENS_PER_MS } from './constants.js'

const MS_PER_S = 1_000

/** Time that a long prompt takes an engine; a queue of such prompts is what a busy engine's callers wait behind. */
const PROMPT_S = 0.25

/** Use beyond which a queue grows without end; just below it the wait is 19 prompts. */
const FULL_USE = 0.95

/** Demand for one model over all routers. */
export interface ModelLoad {
  readonly requestsPerS: number
  readonly promptTokensPerS: number
}

/** Share of requests that a wait of this length makes late. */
export const lateShare = (waitS: number): number => Math.min(1, waitS / LATE_WAIT_S)

/** Requests within the horizon. */
export const requestsAhead = ({ requestsPerS }: Pick<ModelLoad, 'requestsPerS'>): number => requestsPerS * LATE_HORIZON_S

/** Requests within the horizon that are late because the model is nowhere for `absentMs`: those that come until it is back. */
export const lateWhileAbsent = (requestsPerS: number, absentMs: number): number => {
  const absentS = absentMs / MS_PER_S
  return Math.min(requestsAhead({ requestsPerS }), 1 + requestsPerS * absentS) * lateShare(absentS)
}

/** Mean wait in front of a model's replicas: it grows with use / (1 - use), as in any queue. */
const queueS = (load: ModelLoad, replicaCount: number): number => {
  const use = Math.min(FULL_USE, load.promptTokensPerS / (PROMPT_TOKENS_PER_MS * MS_PER_S) / replicaCount)
  return use / (1 - use) * PROMPT_S
}

/** Requests within the horizon that a model's queue makes late when it goes from one number of replicas to a smaller one. */
export const lateByFewer = (load: ModelLoad, replicaCount: number, fewerCount: number): number =>
  requestsAhead(load) * Math.max(0, lateShare(queueS(load, fewerCount)) - lateShare(queueS(load, replicaCount)))
