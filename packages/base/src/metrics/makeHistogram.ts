import { build } from 'hdr-histogram-js'

import type { Histogram } from 'hdr-histogram-js'

const HIGHEST_US = 3_600_000_000
const SIGNIFICANT_DIGITS = 2

/** Makes a histogram of times in µs. Imported when the first time is observed: the library costs a tenth of a process's start. */
export const makeHistogram = (): Histogram =>
  build({ highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
