import { MIN_RESIDENCE_MS, IN_USE_WINDOW_MS, WAITING_LOSS_LIMIT, WAIT_PER_LOSS_MS } from './constants.js'
import { countLateWithFewerReplicas, countLateWhileAbsent } from './lateRequests.js'

import type { PlacedModel } from './types.js'

const MS_PER_S = 1_000

/**
 * Loss per replica for a model whose demand is unknown. The platform places busy models on many engines, so the number of
 * replicas indicates demand. With three replicas the loss exceeds what one waiting request may cause.
 */
const UNKNOWN_LOSS_PER_REPLICA = 0.7

/** Time to unload an idle model, including the notice to routers. */
const IDLE_UNLOAD_MS = 80

/** Expected time to unload a model with running requests, which have to end first. */
export const RUNNING_UNLOAD_MS = 1_500

/** Requests made late by an unload that waits for running streams: the engine accepts no other order meanwhile. */
const RUNNING_LOSS = 2

const isInUse = (resident: PlacedModel): boolean => resident.isRunning || resident.idleMs < IN_USE_WINDOW_MS

const lossFromUse = (resident: PlacedModel): number => {
  if (!isInUse(resident)) return 0
  const blockedCount = resident.replicaCount > 1 ? 0 : resident.requestsPerS * RUNNING_UNLOAD_MS / MS_PER_S
  return resident.isRunning ? RUNNING_LOSS + blockedCount : blockedCount
}

/** Number of requests within the horizon that become late if this replica is evicted. */
export const evictionLossOf = (resident: PlacedModel): number => {
  if (!resident.isDemandKnown && resident.replicaCount > 1) return resident.replicaCount * UNKNOWN_LOSS_PER_REPLICA + lossFromUse(resident)
  const lost = resident.replicaCount > 1
    ? countLateWithFewerReplicas(resident, resident.replicaCount, resident.replicaCount - 1)
    : countLateWhileAbsent(resident.requestsPerS, resident.reloadMs)
  return lost + lossFromUse(resident)
}

/** Models to unload and the resulting loss. */
export interface Eviction {
  readonly modelNames: readonly string[]
  /** Requests that become late because of the eviction. */
  readonly loss: number
}

/**
 * Chooses the models whose eviction frees `neededMb` at the least loss. Returns undefined while too few of them may be evicted,
 * because the others have just been loaded.
 *
 * Load pattern: more models than fit in memory, with shifting demand. Evicting the model that was loaded first may hit the busiest
 * one. Evicting the least recently used one keeps a model with ten replicas and evicts another model's only replica. Models in
 * use may be evicted too, at a higher cost, so that two steadily used models on an engine cannot keep out a third one
 * indefinitely. Of models with equal loss the one that has been idle longest is evicted first.
 */
export const chooseVictims = (residents: readonly PlacedModel[], neededMb: number): Eviction | undefined => {
  const movable = residents
    .filter(resident => resident.residentMs >= MIN_RESIDENCE_MS)
    .sort((a, b) => evictionLossOf(a) - evictionLossOf(b) || b.idleMs - a.idleMs)
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

/** Expected time to unload a model. */
export const unloadMsOf = (resident: PlacedModel): number => resident.isRunning ? RUNNING_UNLOAD_MS : IDLE_UNLOAD_MS

/** Time that a single request has to wait before it may cause this loss. */
const allowedAfterMs = (loss: number): number => Math.max(0, loss - WAITING_LOSS_LIMIT) * WAIT_PER_LOSS_MS

/** Expected time until an engine has evicted enough to fit `neededMb` more than is free, on behalf of one waiting request. */
export const estimateRoomMs = (residents: readonly PlacedModel[], neededMb: number): number => {
  if (neededMb <= 0 || residents.length === 0) return 0
  let soonestMs = Infinity
  for (const resident of residents) {
    const heldMs = Math.max(0, MIN_RESIDENCE_MS - resident.residentMs)
    soonestMs = Math.min(soonestMs, Math.max(heldMs, allowedAfterMs(evictionLossOf(resident))) + unloadMsOf(resident))
  }
  return soonestMs
}
