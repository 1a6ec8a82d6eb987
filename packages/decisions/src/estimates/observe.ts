import type { Estimate, ModelEstimates } from './types.js'

/** Weights of a new observation, as in the smoothing of TCP round-trip times (RFC 6298): about the last eight count. */
const MEAN_WEIGHT = 1 / 8
const DEVIATION_WEIGHT = 1 / 4
/** Deviations above the mean that cover all but a few percent of observations (RFC 6298 uses four for a timeout). */
const BOUND_DEVIATIONS = 2

/** An estimate without observations; its deviation is as large as its value. */
export const initialEstimate = (value: number): Estimate => ({ mean: value, deviation: value, observedCount: 0 })

/** Updates an estimate with one observation. The first one replaces the initial value. */
export const observe = (estimate: Estimate, value: number): Estimate => {
  if (estimate.observedCount === 0) return { mean: value, deviation: value / 2, observedCount: 1 }
  const error = value - estimate.mean
  return {
    mean: estimate.mean + error * MEAN_WEIGHT,
    deviation: estimate.deviation + (Math.abs(error) - estimate.deviation) * DEVIATION_WEIGHT,
    observedCount: estimate.observedCount + 1
  }
}

/** A value that most observations stay below. */
export const upperBound = (estimate: Estimate): number => estimate.mean + BOUND_DEVIATIONS * estimate.deviation

/** Estimates for a model before its first request, from its configuration or the fleet's mean. */
export const initialModelEstimates = (tokens: number, tokenIntervalMs: number, loadMs: number): ModelEstimates => ({
  tokens: initialEstimate(tokens),
  tokenIntervalMs: initialEstimate(tokenIntervalMs),
  loadMs: initialEstimate(loadMs),
  waitRatio: { mean: 1, deviation: 0, observedCount: 0 }
})

/** Added to both sides of the ratio: a wait of 300 ms instead of a predicted 1 ms should not count as an error by a factor of 300. */
const RATIO_FLOOR_MS = 1_000

/** Updates the wait ratio with one observed wait and its prediction. */
export const observeWait = (estimates: ModelEstimates, predictedMs: number, actualMs: number): ModelEstimates => ({
  ...estimates,
  waitRatio: observe(estimates.waitRatio, (actualMs + RATIO_FLOOR_MS) / (predictedMs + RATIO_FLOOR_MS))
})
