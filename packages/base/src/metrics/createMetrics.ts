import { build } from 'hdr-histogram-js'

import type { Histogram } from 'hdr-histogram-js'
import type { Metrics, MetricSample } from './types.js'

const MICROSECONDS_PER_MS = 1000
const HIGHEST_US = 3_600_000_000
const SIGNIFICANT_DIGITS = 2
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

  const histogramFor = (name: string): Histogram => {
    const known = histograms.get(name)
    if (known) return known
    const made = build({ highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
    histograms.set(name, made)
    return made
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
      histogramFor(name).recordValue(us)
    },
    lines,
    text: () => lines().map(sample => `figmount_${sample.name} ${sample.value}\n`).join('')
  }
}
