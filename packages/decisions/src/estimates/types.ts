/** Smoothed mean and mean deviation of an observed value, in its unit. A plain value, updated with each observation. */
export interface Estimate {
  readonly mean: number
  readonly deviation: number
  readonly observedCount: number
}

/** Estimates for the requests of one model. */
export interface ModelEstimates {
  readonly tokens: Estimate
  readonly tokenIntervalMs: Estimate
  readonly loadMs: Estimate
  /** Ratio of observed to predicted wait; 1 when predictions are accurate. */
  readonly waitRatio: Estimate
}
