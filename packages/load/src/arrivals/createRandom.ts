import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Creates a seeded generator of numbers in [0, 1). */
export const createRandom = (seed: number): () => number => {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}
