/** Counters, gauges and histograms of one process, served at `/metrics`. */
export interface Metrics {
  readonly count: (name: string, by?: number) => void
  readonly gauge: (name: string, read: () => number) => void
  /** Records a duration in a histogram whose name ends in `_ms`. */
  readonly observeMs: (name: string, valueMs: number) => void
  readonly lines: () => readonly MetricSample[]
  /** Renders all samples in the Prometheus text format. */
  readonly text: () => string
}

export interface MetricSample {
  readonly name: string
  readonly value: number
}
