/** Counters, gauges and histograms of one process, shown at `/metrics`. */
export interface Metrics {
  readonly count: (name: string, by?: number) => void
  readonly gauge: (name: string, read: () => number) => void
  /** Records a duration in a histogram; the name ends in `_ms`. */
  readonly observeMs: (name: string, valueMs: number) => void
  readonly lines: () => readonly MetricSample[]
  /** The usual text form. */
  readonly text: () => string
}

export interface MetricSample {
  readonly name: string
  readonly value: number
}
