import { LEAST_HELD_MS, LEAST_IDLE_MS, WAITING_LOSS, WAIT_STEP_MS } from './constants.js'
import { lateByFewer, lateWhileAbsent } from './lateRequests.js'

import type { PlacedModel } from './types.js'

const MS_PER_S = 1_000

/**
 * Loss by replica of a model of unknown demand. The platform places busy models on many engines, so each replica speaks
 * for demand; with three replicas it is above what one waiting request may take.
 */
const UNKNOWN_LOSS_PER_REPLICA = 0.7

/** An idle model is unloaded in this time, the notice to routers included. */
const IDLE_UNLOAD_MS = 80

/** A model with running requests is unloaded when they have ended. */
const RUNNING_UNLOAD_MS = 1_500

/** Requests made late by an unload that waits for streams to end: the engine takes no other order meanwhile. */
const RUNNING_LOSS = 2

const isInUse = (resident: PlacedModel): boolean => resident.isRunning || resident.idleMs < LEAST_IDLE_MS

const lossOfUse = (resident: PlacedModel): number => {
  if (!isInUse(resident)) return 0
  const blockedCount = resident.replicaCount > 1 ? 0 : resident.requestsPerS * RUNNING_UNLOAD_MS / MS_PER_S
  return resident.isRunning ? RUNNING_LOSS + blockedCount : blockedCount
}

/** Requests of the next seconds that are late once the replica has gone. */
export const evictionLossOf = (resident: PlacedModel): number => {
  if (!resident.isDemandKnown && resident.replicaCount > 1) return resident.replicaCount * UNKNOWN_LOSS_PER_REPLICA + lossOfUse(resident)
  const lost = resident.replicaCount > 1
    ? lateByFewer(resident, resident.replicaCount, resident.replicaCount - 1)
    : lateWhileAbsent(resident.requestsPerS, resident.returnsMs)
  return lost + lossOfUse(resident)
}

/** Models to unload, and what their callers lose. */
export interface Eviction {
  readonly modelNames: readonly string[]
  /** Requests that are late because of it. */
  readonly loss: number
}

/**
 * The models that make room for `neededMb` at the least loss; undefined while all have just been loaded.
 *
 * Load pattern: more models than fit, with demand that moves. Without it the model that was loaded first goes, be it
 * the busiest; with least-recent use alone a model with ten replicas stays where the only replica of another one goes.
 * A model in use may go as well, at a price: two steady models on one engine must not keep out a third one for ever. Of equal
 * losses the one that was idle longest goes.
 */
export const chooseVictims = (residents: readonly PlacedModel[], neededMb: number): Eviction | undefined => {
  const movable = residents
    .filter(resident => resident.heldMs >= LEAST_HELD_MS)
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

/** Time that an unload takes. */
export const unloadMsOf = (resident: PlacedModel): number => resident.isRunning ? RUNNING_UNLOAD_MS : IDLE_UNLOAD_MS

/** Time after which one waiting request may cost this loss. */
const allowedAfterMs = (loss: number): number => Math.max(0, loss - WAITING_LOSS) * WAIT_STEP_MS

/** Expected time until an engine has room for a model of `neededMb` beyond what is free, for one request that waits. */
export const estimateRoomMs = (residents: readonly PlacedModel[], neededMb: number): number => {
  if (neededMb <= 0 || residents.length === 0) return 0
  let soonestMs = Infinity
  for (const resident of residents) {
    const heldMs = Math.max(0, LEAST_HELD_MS - resident.heldMs)
    soonestMs = Math.min(soonestMs, Math.max(heldMs, allowedAfterMs(evictionLossOf(resident))) + unloadMsOf(resident))
  }
  return soonestMs
}
