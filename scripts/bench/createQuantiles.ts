import { build } from 'hdr-histogram-js'

import { US_PER_MS } from './constants.js'

const MAX_US = 60_000_000
const SIGNIFICANT_DIGITS = 3

/** Distribution of the durations of one kind of call. */
export interface Quantiles {
  readonly recordMs: (valueMs: number) => void
  /** Value in ms at a percentile from 0 to 100. */
  readonly atMs: (percentile: number) => number
}

/** Records durations in a histogram with a resolution of 1 µs and three significant digits. */
export const createQuantiles = (): Quantiles => {
  const histogram = build({ highestTrackableValue: MAX_US, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
  return {
    recordMs: valueMs => { histogram.recordValue(Math.min(MAX_US, Math.max(1, Math.round(valueMs * US_PER_MS)))) },
    atMs: percentile => histogram.getValueAtPercentile(percentile) / US_PER_MS
  }
}
