import type { Estimate, ModelEstimates } from './types.js'

/** Weights of a new observation, as TCP smooths round-trip times (RFC 6298): about the last eight count. */
const MEAN_WEIGHT = 1 / 8
const DEVIATION_WEIGHT = 1 / 4
/** Deviations above the mean that cover all but some percent of observations (RFC 6298 uses four for a timeout). */
const BOUND_DEVIATIONS = 2

/** An estimate nobody has observed yet: the guess may be wrong by as much again. */
export const guess = (value: number): Estimate => ({ mean: value, deviation: value, observedCount: 0 })

/** Folds one observation in. The first one replaces the guess. */
export const observe = (estimate: Estimate, value: number): Estimate => {
  if (estimate.observedCount === 0) return { mean: value, deviation: value / 2, observedCount: 1 }
  const error = value - estimate.mean
  return {
    mean: estimate.mean + error * MEAN_WEIGHT,
    deviation: estimate.deviation + (Math.abs(error) - estimate.deviation) * DEVIATION_WEIGHT,
    observedCount: estimate.observedCount + 1
  }
}

/** A value that most observations stay under. */
export const upperBound = (estimate: Estimate): number => estimate.mean + BOUND_DEVIATIONS * estimate.deviation

/** Estimates of a model before its first request, from what its configuration or the fleet's mean says. */
export const guessModel = (tokens: number, tokenIntervalMs: number, loadMs: number): ModelEstimates => ({
  tokens: guess(tokens),
  tokenIntervalMs: guess(tokenIntervalMs),
  loadMs: guess(loadMs),
  waitRatio: { mean: 1, deviation: 0, observedCount: 0 }
})

/** Added to both sides of the ratio: a wait of 300 ms where 1 ms was predicted is no error worth a factor of 300. */
const RATIO_FLOOR_MS = 1_000

/** Folds in how long a request waited against what was predicted. */
export const observeWait = (estimates: ModelEstimates, predictedMs: number, actualMs: number): ModelEstimates => ({
  ...estimates,
  waitRatio: observe(estimates.waitRatio, (actualMs + RATIO_FLOOR_MS) / (predictedMs + RATIO_FLOOR_MS))
})
