/** One figure of a run of the bench. */
export interface BenchRow {
  readonly name: string
  /** null where the measurement ended without a value; `method` says what that means. */
  readonly value: number | null
  readonly unit: 'ms' | 'us' | 'MB' | 'KB' | 'ratio' | 'appends' | 'appends/s'
  readonly method: string
  /** Greatest permitted quotient of this run's value and an earlier run's; only for ratios taken within one run. */
  readonly maxGrowth?: number
}

/** The file that a run writes. */
export interface BenchFile {
  readonly measuredAt: string
  readonly nodeVersion: string
  readonly rows: readonly BenchRow[]
}

/** A row beside the row of the same name of an earlier run. */
export interface ComparedRow {
  readonly row: BenchRow
  readonly earlier: number | null
  /** This run's value divided by the earlier one; null where either is missing. */
  readonly growth: number | null
  readonly isBeyondBound: boolean
}
