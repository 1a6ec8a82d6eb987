/** A smoothed measure with its own mean deviation, in the unit of what is observed. A plain value, folded over observations. */
export interface Estimate {
  readonly mean: number
  readonly deviation: number
  readonly observedCount: number
}

/** What is known of one model's requests. */
export interface ModelEstimates {
  readonly tokens: Estimate
  readonly tokenIntervalMs: Estimate
  readonly loadMs: Estimate
  /** Observed over predicted wait: 1 when predictions are right. */
  readonly waitRatio: Estimate
}
