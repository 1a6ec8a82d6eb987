import { build } from 'hdr-histogram-js'

import { US_PER_MS } from './constants.js'

const HIGHEST_US = 60_000_000
const SIGNIFICANT_DIGITS = 3

/** Durations of one kind of call. */
export interface Quantiles {
  readonly recordMs: (valueMs: number) => void
  /** Value in ms at a percentile from 0 to 100. */
  readonly atMs: (percentile: number) => number
}

/** Keeps durations in a histogram with steps of 1 µs and three significant digits. */
export const createQuantiles = (): Quantiles => {
  const histogram = build({ highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
  return {
    recordMs: valueMs => { histogram.recordValue(Math.min(HIGHEST_US, Math.max(1, Math.round(valueMs * US_PER_MS)))) },
    atMs: percentile => histogram.getValueAtPercentile(percentile) / US_PER_MS
  }
}
