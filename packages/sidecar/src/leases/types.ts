import type { ColdWant } from '@figmount/decisions'

/** A lease for one load from the weight store, as it stands in the lease feed. */
export interface LoadLease {
  /** Empty for a load that was lost: another agent may load the model. */
  readonly modelName: string
  /** Requests that waited for the model when it was taken. */
  readonly waitingCount: number
  /** By the holder's clock. */
  readonly takenUnixMs: number
  /** The lease expires this long after it was taken. */
  readonly lifetimeMs: number
}

/** How many loads the weight store carries at full speed, as it stands in the lease feed. */
export interface StoreLimit {
  readonly fullSpeedCount: number
  /** When a load was last slowed down by others, by the writer's clock; 0 if never. */
  readonly slowedAtUnixMs: number
  readonly failedTrialCount: number
  /** Grows with each change, so that the newest of two limits is known when the store has come back from an older copy. */
  readonly changeCount: number
}

/** What an agent's engine does and what is wanted of it, as far as leases depend on it. */
export interface LeaseNeeds {
  /** Loads from the weight store that could begin, the most urgent first. */
  readonly wants: readonly ColdWant[]
  /** Model that the engine is loading from the weight store; empty for none. */
  readonly loadingModel: string
  /** A model is being unloaded, or accepts no new requests so that it can be. */
  readonly isMakingRoom: boolean
  readonly isHeld: (modelName: string) => boolean
}

/** The leases of one agent for loads from the weight store. */
export interface LoadLeases {
  /** Takes, keeps or releases a lease according to what the engine does and what is wanted of it. */
  readonly review: (needs: LeaseNeeds) => void
  /** Model for whose load the agent has a lease, empty for none; undefined while the store cannot be reached: loads begin without a lease. */
  readonly leasedModel: () => string | undefined
  readonly stop: () => void
}
