import { LEAST_HELD_MS, LEAST_IDLE_MS, PROMPT_TOKENS_PER_MS, RETURN_SCALE_MS } from './constants.js'

import type { PlacedModel } from './types.js'

const MS_PER_S = 1_000

/**
 * Loss by replica of a model of unknown demand. The platform places busy models on many engines, so each replica speaks
 * for demand; the figure is above what may go for a model that nobody waits for.
 */
const UNKNOWN_LOSS_PER_REPLICA = 0.1

/** Time that a long prompt takes an engine; a queue of such prompts is what the replicas that are left get. */
const PROMPT_S = 0.25

/** Requests a second that wait longer once the replica has gone, weighed by how many seconds longer. */
export const evictionLossOf = (resident: PlacedModel): number => {
  if (!resident.isDemandKnown && resident.replicaCount > 1) return resident.replicaCount * UNKNOWN_LOSS_PER_REPLICA
  if (resident.replicaCount <= 1) return resident.requestsPerS * resident.returnsMs / RETURN_SCALE_MS
  const useAfter = resident.promptTokensPerS / (PROMPT_TOKENS_PER_MS * MS_PER_S) / (resident.replicaCount - 1)
  const waitS = useAfter >= 1 ? Infinity : useAfter / (1 - useAfter) * PROMPT_S
  return resident.requestsPerS * Math.min(waitS, resident.returnsMs / RETURN_SCALE_MS)
}

const mayGo = (resident: PlacedModel): boolean => {
  if (resident.heldMs < LEAST_HELD_MS || resident.idleMs < LEAST_IDLE_MS) return false
  return !resident.isRunning || resident.replicaCount > 1
}

/** Models to unload, and what their callers lose. */
export interface Eviction {
  readonly modelNames: readonly string[]
  readonly loss: number
}

/**
 * The models that make room for `neededMb` at the least loss; undefined while none may go yet.
 *
 * Load pattern: more models than fit, with demand that moves. Without it the model that was loaded first goes, be it
 * the busiest; with least-recent use alone a model with ten replicas stays where the only replica of another one goes.
 * One without running requests goes before any that has some: the engine lets these end before it unloads, which took
 * up to four seconds while others waited for the room. Of equal losses the one that was idle longest goes.
 */
export const chooseVictims = (residents: readonly PlacedModel[], neededMb: number): Eviction | undefined => {
  const movable = residents
    .filter(mayGo)
    .sort((a, b) => Number(a.isRunning) - Number(b.isRunning) || evictionLossOf(a) - evictionLossOf(b) || b.idleMs - a.idleMs)
  const modelNames: string[] = []
  let freedMb = 0
  let loss = 0
  for (const resident of movable) {
    if (freedMb >= neededMb) break
    modelNames.push(resident.modelName)
    freedMb += resident.weightsMb
    loss += evictionLossOf(resident)
  }
  return freedMb >= neededMb ? { modelNames, loss } : undefined
}

/** An idle model is unloaded in this time, the notice to routers included. */
const IDLE_UNLOAD_MS = 80

/** A model with running requests is unloaded when they have ended; streams last one to two seconds. */
export const RUNNING_UNLOAD_MS = 1_500

/** A sole replica that is asked for this often hardly ever has no running request, and stays. */
const BUSY_REQUESTS_PER_S = 0.5

/** Expected time for room on an engine whose models all stay. */
const HELD_FAST_MS = 5_000

/** Expected time until an engine has room for a model of `neededMb` beyond what is free. */
export const estimateRoomMs = (residents: readonly PlacedModel[], neededMb: number): number => {
  if (neededMb <= 0) return 0
  let soonestMs = HELD_FAST_MS
  for (const resident of residents) {
    const isBusySole = resident.isRunning && resident.replicaCount <= 1 && resident.requestsPerS > BUSY_REQUESTS_PER_S
    if (isBusySole) continue
    const heldMs = Math.max(0, LEAST_HELD_MS - resident.heldMs)
    soonestMs = Math.min(soonestMs, heldMs + (resident.isRunning ? RUNNING_UNLOAD_MS : IDLE_UNLOAD_MS))
  }
  return soonestMs
}
