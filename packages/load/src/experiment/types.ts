import type { CallerName } from '@figmount/base'

/** How requests of one kind arrive. */
export const ArrivalKind = {
  /** Independent callers: exponential gaps. */
  Poisson: 'poisson',
  /** Equal gaps. */
  Steady: 'steady',
  /** All at once, `every_ms` apart. */
  Burst: 'burst'
} as const

export type ArrivalKind = typeof ArrivalKind[keyof typeof ArrivalKind]

/** One kind of request that the experiment sends. */
export interface TrafficPlan {
  readonly name: string
  readonly caller: CallerName
  readonly service: string
  /** Models to choose from. */
  readonly models: readonly string[]
  /** Exponent of the Zipf law by which models are chosen; 0 chooses evenly. */
  readonly zipfExponent: number
  /** Adapters to choose from; the bare model if there are none. */
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
  /** How long a caller goes on resending before the run counts the request as unserved. */
  readonly patienceMs: number
}

/** A caller and its key. */
export interface CallerPlan {
  readonly name: CallerName
  readonly key: string
}

/** A change of a stand-in's behaviour during the run, through its control surface. */
export interface FaultPlan {
  readonly name: string
  readonly atMs: number
  /** Address of the control surface as host:port. */
  readonly address: string
  readonly path: string
  readonly bodyJson: string
}

/** A whole experiment. */
export interface Experiment {
  readonly name: string
  readonly seed: number
  readonly durationMs: number
  /** Requests planned earlier are sent and checked, but left out of the figures. */
  readonly warmUpMs: number
  readonly routers: readonly string[]
  readonly callers: readonly CallerPlan[]
  readonly traffic: readonly TrafficPlan[]
  readonly faults: readonly FaultPlan[]
}
