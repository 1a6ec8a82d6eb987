import { initialEstimate, observe } from '@figmount/decisions'

import type { ModelId } from '@figmount/base'
import type { Estimate } from '@figmount/decisions'

/** Estimates for requests to a model, based on the requests that this router has served. */
export interface Estimates {
  readonly coldStartMs: (model: ModelId) => number
  readonly observeColdStart: (model: ModelId, durationMs: number) => void
  /** Expected number of tokens in an answer, at most `maxTokens`. */
  readonly expectedTokens: (model: ModelId, maxTokens: number) => number
  readonly observeTokens: (model: ModelId, tokenCount: number) => void
}

/** Estimate for a model without an observed cold start. */
const DEFAULT_COLD_START_MS = 3_000
/** Maximum number of models, at about 200 bytes each. The least recently observed model is evicted. */
const MAX_MODELS = 2_000

const createEstimateMap = () => {
  const estimates = new Map<ModelId, Estimate>()
  return {
    get: (model: ModelId): Estimate | undefined => estimates.get(model),
    add: (model: ModelId, value: number): void => {
      const known = estimates.get(model) ?? initialEstimate(value)
      estimates.delete(model)
      estimates.set(model, observe(known, value))
      const [oldest] = estimates.keys()
      if (estimates.size > MAX_MODELS && oldest) estimates.delete(oldest)
    }
  }
}

/**
 * Estimates cold start times and answer lengths per model. Without observed lengths, a caller that
 * requests many tokens but receives few would make its agent look fully loaded.
 */
export const createEstimates = (): Estimates => {
  const coldStarts = createEstimateMap()
  const tokens = createEstimateMap()
  return {
    coldStartMs: model => coldStarts.get(model)?.mean ?? DEFAULT_COLD_START_MS,
    observeColdStart: coldStarts.add,
    expectedTokens: (model, maxTokens) => Math.min(maxTokens, Math.ceil(tokens.get(model)?.mean ?? maxTokens)),
    observeTokens: tokens.add
  }
}
