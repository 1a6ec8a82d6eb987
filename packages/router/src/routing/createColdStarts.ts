import type { ModelId } from '@figmount/base'

/** Cold-start times as seen from here, by model. */
export interface ColdStarts {
  readonly expectedMs: (model: ModelId) => number
  readonly observe: (model: ModelId, tookMs: number) => void
}

/** Expectation for a model that was never seen cold. */
const DEFAULT_COLD_START_MS = 3_000
/** Weight of the newest observation; three of them make nearly all of the value. */
const SMOOTHING = 0.5
/** Models remembered; about 100 bytes each. */
const MAX_MODELS = 2_000

/** Remembers how long cold starts took, smoothed. */
export const createColdStarts = (): ColdStarts => {
  const byModel = new Map<ModelId, number>()
  return {
    expectedMs: model => byModel.get(model) ?? DEFAULT_COLD_START_MS,
    observe: (model, tookMs) => {
      const known = byModel.get(model) ?? tookMs
      byModel.delete(model)
      byModel.set(model, known + (tookMs - known) * SMOOTHING)
      if (byModel.size <= MAX_MODELS) return
      const [oldest] = byModel.keys()
      if (oldest) byModel.delete(oldest)
    }
  }
}
