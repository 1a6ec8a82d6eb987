/** One measured value of a bench run. */
export interface BenchRow {
  readonly name: string
  /** null if the measurement gave no value; `method` says what that means. */
  readonly value: number | null
  readonly unit: 'ms' | 'us' | 'MB' | 'KB' | 'ratio' | 'appends' | 'appends/s'
  readonly method: string
  /** Maximum ratio of this run's value to an earlier run's; only for ratios measured within one run. */
  readonly maxGrowth?: number
}

/** Content of the result file of a run. */
export interface BenchFile {
  readonly measuredAt: string
  readonly nodeVersion: string
  readonly rows: readonly BenchRow[]
}

/** A row together with the earlier row of the same name. */
export interface ComparedRow {
  readonly row: BenchRow
  readonly earlier: number | null
  /** This run's value divided by the earlier one; null if either is missing. */
  readonly growth: number | null
  readonly isBeyondBound: boolean
}
