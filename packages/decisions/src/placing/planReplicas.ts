import { PROMPT_TOKENS_PER_MS, REPLICA_USE_LIMIT } from './constants.js'

import type { ReplicaView } from './types.js'

const MS_PER_S = 1_000

/** Replicas that a model's demand calls for; none without demand. */
export const neededReplicas = (promptTokensPerS: number): number =>
  Math.ceil(promptTokensPerS / (PROMPT_TOKENS_PER_MS * MS_PER_S * REPLICA_USE_LIMIT))

/**
 * Models that need one more replica, the shortest of replicas first.
 *
 * Load pattern: demand that moves to other models within seconds. Without it the few replicas that a rare model had
 * take all of the new demand: prompts queue behind each other and the first events come late. One more at a time for
 * each model keeps what is being loaded from being asked for twice.
 */
export const planReplicas = (models: readonly ReplicaView[]): readonly string[] => {
  const shortageOf = (model: ReplicaView): number => neededReplicas(model.promptTokensPerS) - model.replicaCount - model.comingCount
  return models
    .filter(model => model.replicaCount > 0 && shortageOf(model) > 0)
    .sort((a, b) => shortageOf(b) - shortageOf(a))
    .map(model => model.modelName)
}
