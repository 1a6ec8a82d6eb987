import type { Histogram } from 'hdr-histogram-js'
import type { Metrics, MetricSample } from './types.js'

interface PendingValue {
  readonly name: string
  readonly valueUs: number
}

const MICROSECONDS_PER_MS = 1000
const MAX_US = 3_600_000_000
const QUANTILES = [50, 90, 99, 99.9] as const

const histogramSamples = (name: string, histogram: Histogram): readonly MetricSample[] => {
  const quantiles = QUANTILES.map(percentile => ({
    name: `${name}{quantile="${percentile / 100}"}`,
    value: histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
  }))
  return [...quantiles, { name: `${name}_count`, value: histogram.totalCount }]
}

/** Creates the metrics of one process. */
export const createMetrics = (): Metrics => {
  const counters = new Map<string, number>()
  const gauges = new Map<string, () => number>()
  const histograms = new Map<string, Histogram>()

  /** Values observed while the histogram module is being imported. */
  let pending: PendingValue[] | undefined
  let createHistogram: (() => Histogram) | undefined

  const record = (makeHistogram: () => Histogram, { name, valueUs }: PendingValue): void => {
    const histogram = histograms.get(name) ?? makeHistogram()
    histograms.set(name, histogram)
    histogram.recordValue(valueUs)
  }

  const recordLater = (value: PendingValue): void => {
    if (pending) {
      pending.push(value)
      return
    }
    const buffered = [value]
    pending = buffered
    import('./makeHistogram.js').then(({ makeHistogram }) => {
      createHistogram = makeHistogram
      pending = undefined
      for (const item of buffered) record(makeHistogram, item)
    }, (error: Error) => { process.stderr.write(`cannot load the histogram module: ${error.message}\n`) })
  }

  const lines = (): readonly MetricSample[] => [
    ...[...counters].map(([name, value]) => ({ name, value })),
    ...[...gauges].map(([name, read]) => ({ name, value: read() })),
    ...[...histograms].flatMap(([name, histogram]) => histogramSamples(name, histogram))
  ]

  return {
    count: (name, by = 1) => { counters.set(name, (counters.get(name) ?? 0) + by) },
    gauge: (name, read) => { gauges.set(name, read) },
    observeMs: (name, valueMs) => {
      const us = Math.min(MAX_US, Math.max(0, Math.round(valueMs * MICROSECONDS_PER_MS)))
      if (createHistogram) record(createHistogram, { name, valueUs: us })
      else recordLater({ name, valueUs: us })
    },
    lines,
    text: () => lines().map(sample => `figmount_${sample.name} ${sample.value}\n`).join('')
  }
}
