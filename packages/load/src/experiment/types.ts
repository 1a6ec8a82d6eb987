import type { CallerName } from '@figmount/base'

/** Arrival pattern of requests. */
export const ArrivalKind = {
  /** Independent callers: exponentially distributed gaps. */
  Poisson: 'poisson',
  /** Equal gaps. */
  Steady: 'steady',
  /** `burst_size` requests at once, every `burst_every_s`. */
  Burst: 'burst'
} as const

export type ArrivalKind = typeof ArrivalKind[keyof typeof ArrivalKind]

/** One kind of request that the experiment sends, and how these arrive. */
export interface TrafficPlan {
  readonly name: string
  readonly caller: CallerName
  readonly service: string
  /** Models to choose from, the most popular first. */
  readonly models: readonly string[]
  /** Exponent of the Zipf distribution by which models are chosen; 0 chooses uniformly. */
  readonly zipfExponent: number
  /** Adapters to choose from, uniformly; if empty, requests use the base model. */
  readonly adapters: readonly string[]
  readonly arrivals: ArrivalKind
  readonly ratePerSecond: number
  readonly burstSize: number
  readonly burstEveryMs: number
  readonly fromMs: number
  readonly untilMs: number
  readonly repeatable: boolean
  readonly promptLength: number
  readonly prefixCount: number
  readonly maxTokens: number
  readonly deadlineMs: number
  /** How long a caller keeps resending before the request counts as unserved. */
  readonly patienceMs: number
}

/** A caller and its key. */
export interface CallerPlan {
  readonly name: CallerName
  readonly key: string
}

/** A fault that a stand-in is instructed to simulate during the run, by a request to its control API. */
export interface FaultPlan {
  readonly name: string
  readonly atMs: number
  /** The host:port of the stand-in's control API. */
  readonly address: string
  readonly path: string
  readonly bodyJson: string
}

/** A parsed experiment file. */
export interface Experiment {
  readonly name: string
  readonly seed: number
  readonly durationMs: number
  /** Requests planned before this time are sent and checked, but left out of the figures. */
  readonly warmUpMs: number
  readonly routers: readonly string[]
  readonly callers: readonly CallerPlan[]
  readonly traffic: readonly TrafficPlan[]
  readonly faults: readonly FaultPlan[]
}
