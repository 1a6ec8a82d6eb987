import { PROMPT_TOKENS_PER_MS, REPLICA_USE_LIMIT } from './constants.js'

import type { ReplicaView } from './types.js'

const MS_PER_S = 1_000

/** Number of replicas that a model's demand requires; 0 without demand. */
export const neededReplicas = (promptTokensPerS: number): number =>
  Math.ceil(promptTokensPerS / (PROMPT_TOKENS_PER_MS * MS_PER_S * REPLICA_USE_LIMIT))

/**
 * Models that need one more replica, those with the largest shortage first.
 *
 * Load pattern: demand that moves to other models within seconds. Without new replicas the few replicas of a model that was
 * rarely used receive all of the new demand, prompts queue, and first events are late. Adding one replica at a time per model
 * avoids requesting the same load twice.
 */
export const planReplicas = (models: readonly ReplicaView[]): readonly string[] => {
  const shortageOf = (model: ReplicaView): number => neededReplicas(model.promptTokensPerS) - model.replicaCount - model.comingCount
  return models
    .filter(model => model.replicaCount > 0 && shortageOf(model) > 0)
    .sort((a, b) => shortageOf(b) - shortageOf(a))
    .map(model => model.modelName)
}
