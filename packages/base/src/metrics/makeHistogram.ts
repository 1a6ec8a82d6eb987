import { build } from 'hdr-histogram-js'

import type { Histogram } from 'hdr-histogram-js'

const MAX_US = 3_600_000_000
const SIGNIFICANT_DIGITS = 2

/** Creates a histogram of durations in µs. Imported on first use: loading the library takes a tenth of a process's startup time. */
export const makeHistogram = (): Histogram =>
  build({ highestTrackableValue: MAX_US, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
