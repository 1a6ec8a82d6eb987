import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { hash64 } from '@figmount/base'

import { BACKOFF_FIRST_MS, BACKOFF_LONGEST_MS } from './constants.js'

/** Gives the pause after the n-th failure in a row, counted from 0. */
export type Jitter = (failureCount: number) => number

/**
 * Pauses that double up to a limit, each drawn from half of itself up. Without the draw all
 * processes would come back at the same moment after an outage and bring it about again.
 */
export const createJitter = (seed: string): Jitter => {
  const generator = xoroshiro128plus(Number(hash64(seed) & 0xffffffffn))
  return failureCount => {
    const longestMs = Math.min(BACKOFF_LONGEST_MS, BACKOFF_FIRST_MS * 2 ** failureCount)
    return longestMs * (0.5 + uniformFloat64(generator) / 2)
  }
}
