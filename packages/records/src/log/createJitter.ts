import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { hash64 } from '@figmount/base'

import { INITIAL_BACKOFF_MS, MAX_BACKOFF_MS } from './constants.js'

/** Returns the pause after the n-th consecutive failure, counted from 0. */
export type Jitter = (failureCount: number) => number

/**
 * Exponential backoff with a limit, randomised between half and all of each pause. Without the jitter, all
 * processes would retry at the same moment after an outage and cause the next one.
 */
export const createJitter = (seed: string): Jitter => {
  const generator = xoroshiro128plus(Number(hash64(seed) & 0xffffffffn))
  return failureCount => {
    const longestMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** failureCount)
    return longestMs * (0.5 + uniformFloat64(generator) / 2)
  }
}
