import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Spreads neighbouring seeds (Knuth's multiplicative hash); otherwise their first outputs would be nearly the same. */
const SEED_FACTOR = 0x9e3779b1
const DISCARDED_COUNT = 32

/** Creates a seeded generator of numbers in [0, 1). */
export const makeRandom = (seed: number): () => number => {
  const generator = xoroshiro128plus(Math.imul(seed, SEED_FACTOR))
  for (let count = 0; count < DISCARDED_COUNT; count++) generator.next()
  return () => uniformFloat64(generator)
}

/** Draws from an exponential distribution, such as the gap between independent arrivals. */
export const drawExponential = (mean: number, random: () => number): number => -Math.log(1 - random()) * mean
