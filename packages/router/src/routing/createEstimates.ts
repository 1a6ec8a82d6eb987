import { guess, observe } from '@figmount/decisions'

import type { ModelId } from '@figmount/base'
import type { Estimate } from '@figmount/decisions'

/** What this router expects of a model's requests, from those that it served. */
export interface Estimates {
  readonly coldStartMs: (model: ModelId) => number
  readonly observeColdStart: (model: ModelId, tookMs: number) => void
  /** Tokens that an answer will have, at most `maxTokens`. */
  readonly expectedTokens: (model: ModelId, maxTokens: number) => number
  readonly observeTokens: (model: ModelId, tokenCount: number) => void
}

/** Expectation for a model that was never seen cold. */
const FIRST_COLD_START_MS = 3_000
/** Models remembered; about 200 bytes each. The longest unused is forgotten. */
const MAX_MODELS = 2_000

const createEstimateMap = () => {
  const estimates = new Map<ModelId, Estimate>()
  return {
    get: (model: ModelId): Estimate | undefined => estimates.get(model),
    add: (model: ModelId, value: number): void => {
      const known = estimates.get(model) ?? guess(value)
      estimates.delete(model)
      estimates.set(model, observe(known, value))
      const [oldest] = estimates.keys()
      if (estimates.size > MAX_MODELS && oldest) estimates.delete(oldest)
    }
  }
}

/**
 * Remembers cold starts and lengths of answers by model. Without the latter a caller that asks
 * for many tokens and gets few makes its agent look full.
 */
export const createEstimates = (): Estimates => {
  const coldStarts = createEstimateMap()
  const tokens = createEstimateMap()
  return {
    coldStartMs: model => coldStarts.get(model)?.mean ?? FIRST_COLD_START_MS,
    observeColdStart: coldStarts.add,
    expectedTokens: (model, maxTokens) => Math.min(maxTokens, Math.ceil(tokens.get(model)?.mean ?? maxTokens)),
    observeTokens: tokens.add
  }
}
