import type { Histogram } from 'hdr-histogram-js'
import type { Metrics, MetricSample } from './types.js'

interface EarlyValue {
  readonly name: string
  readonly valueUs: number
}

const MICROSECONDS_PER_MS = 1000
const HIGHEST_US = 3_600_000_000
const QUANTILES = [50, 90, 99, 99.9] as const

const histogramSamples = (name: string, histogram: Histogram): readonly MetricSample[] => {
  const quantiles = QUANTILES.map(q => ({
    name: `${name}{quantile="${q / 100}"}`,
    value: histogram.getValueAtPercentile(q) / MICROSECONDS_PER_MS
  }))
  return [...quantiles, { name: `${name}_count`, value: histogram.totalCount }]
}

/** Makes the metrics of one process. */
export const createMetrics = (): Metrics => {
  const counters = new Map<string, number>()
  const gauges = new Map<string, () => number>()
  const histograms = new Map<string, Histogram>()

  /** Values that came while the histograms' module was being imported. */
  let early: EarlyValue[] | undefined
  let make: (() => Histogram) | undefined

  const record = (makeHistogram: () => Histogram, { name, valueUs }: EarlyValue): void => {
    const histogram = histograms.get(name) ?? makeHistogram()
    histograms.set(name, histogram)
    histogram.recordValue(valueUs)
  }

  const recordLater = (value: EarlyValue): void => {
    if (early) {
      early.push(value)
      return
    }
    const waiting = [value]
    early = waiting
    import('./makeHistogram.js').then(({ makeHistogram }) => {
      make = makeHistogram
      early = undefined
      for (const known of waiting) record(makeHistogram, known)
    }, (error: Error) => { process.stderr.write(`no histograms: ${error.message}\n`) })
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
      const us = Math.min(HIGHEST_US, Math.max(0, Math.round(valueMs * MICROSECONDS_PER_MS)))
      if (make) record(make, { name, valueUs: us })
      else recordLater({ name, valueUs: us })
    },
    lines,
    text: () => lines().map(sample => `figmount_${sample.name} ${sample.value}\n`).join('')
  }
}
