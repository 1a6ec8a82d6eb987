import { LATE_HORIZON_S, LATE_WAIT_S, PROMPT_TOKENS_PER_MS } from './constants.js'

const MS_PER_S = 1_000

/** Time that an engine takes to compute a long prompt. Requests at a busy engine wait behind a queue of such prompts. */
const PROMPT_S = 0.25

/** Cap on utilisation, because the queue grows without bound as it approaches 1. At the cap the wait is 19 prompts. */
const FULL_USE = 0.95

/** Demand for one model, summed over all routers. */
export interface ModelLoad {
  readonly requestsPerS: number
  readonly promptTokensPerS: number
}

/** Share of requests that become late through a wait of this length. */
export const lateShare = (waitS: number): number => Math.min(1, waitS / LATE_WAIT_S)

/** Expected requests within the horizon. */
export const requestsInHorizon = ({ requestsPerS }: Pick<ModelLoad, 'requestsPerS'>): number => requestsPerS * LATE_HORIZON_S

/** Requests within the horizon that become late while no server holds the model, for `absentMs`: those that arrive meanwhile. */
export const countLateWhileAbsent = (requestsPerS: number, absentMs: number): number => {
  const absentS = absentMs / MS_PER_S
  return Math.min(requestsInHorizon({ requestsPerS }), 1 + requestsPerS * absentS) * lateShare(absentS)
}

/** Mean queueing delay at a model's replicas; it grows with utilisation / (1 - utilisation), as in queueing theory. */
const queueWaitS = (load: ModelLoad, replicaCount: number): number => {
  const use = Math.min(FULL_USE, load.promptTokensPerS / (PROMPT_TOKENS_PER_MS * MS_PER_S) / replicaCount)
  return use / (1 - use) * PROMPT_S
}

/** Requests within the horizon that become late through queueing when a model's number of replicas is reduced. */
export const countLateWithFewerReplicas = (load: ModelLoad, replicaCount: number, fewerCount: number): number =>
  requestsInHorizon(load) * Math.max(0, lateShare(queueWaitS(load, fewerCount)) - lateShare(queueWaitS(load, replicaCount)))
