/** Quantiles of a distribution in ms. */
export interface Quantiles {
  readonly count: number
  readonly p50Ms: number
  readonly p90Ms: number
  readonly p95Ms: number
  readonly p99Ms: number
  readonly maxMs: number
}

/** Figures of one kind of traffic in one run. */
export interface TrafficFigures {
  readonly name: string
  readonly plannedCount: number
  readonly answeredCount: number
  readonly refusedCount: number
  readonly unservedCount: number
  readonly brokenCount: number
  readonly resendCount: number
  readonly goodputPerSecond: number
  readonly tokensPerSecond: number
  readonly firstToken: Quantiles
  readonly total: Quantiles
  readonly longestGap: Quantiles
  readonly refusalsByReason: Readonly<Record<string, number>>
}

/** Figures of one run. */
export interface RunFigures {
  readonly partial: boolean
  readonly elapsedMs: number
  /** Number of answers that ended in each second, for the plot. */
  readonly answersBySecond: readonly number[]
  /** Number of refused, unserved and broken requests that ended in each second, for the plot. */
  readonly refusalsBySecond: readonly number[]
  readonly traffic: readonly TrafficFigures[]
}

/** The report of an experiment, over one or more runs with different seeds. */
export interface Report {
  readonly experiment: string
  readonly seeds: readonly number[]
  readonly runs: readonly RunFigures[]
}

/** Difference of one figure between two reports. */
export interface FigureChange {
  readonly traffic: string
  readonly figure: string
  readonly before: number
  readonly after: number
  /** Half width of the noise interval, from the spread of repeated runs. */
  readonly noise: number
  readonly judgement: 'better' | 'worse' | 'within noise'
}
