import type { InstanceName, ModelId } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { RightKey, RightState } from '../rights/types.js'

/** An instance of the platform's instance list, as far as proposals depend on it. */
export interface ListedInstance {
  readonly name: InstanceName
  /** The platform has announced that it will remove the instance. */
  readonly leaving: boolean
  /** The instance's agent has announced that it stops. It may restart, so it keeps its rights but is granted no new ones. */
  readonly stopping?: boolean
}

/** Inputs of a proposal besides the agreed state. */
export interface ProposalOptions {
  /** Whether this process is the current proposer for a model or plain service; called only for targets that need a record. */
  readonly mayPropose: (target: string) => boolean
  /** Maximum number of records in one round; defaults to MAX_PROPOSALS_PER_ROUND. */
  readonly maxCount?: number
}

/** Inputs of `proposeMoves` besides the agreed state. */
export interface MoveOptions extends Pick<ProposalOptions, 'mayPropose'> {
  /** Whether an agent is known to have the model loaded or loading; false if its load state is unknown. */
  readonly isLoaded: (instance: InstanceName, target: ModelId) => boolean
}

/** Result of a proposer's attempt to contact an instance's engine. */
export type EngineReachability =
  /** The engine does not answer. */
  | 'unreachable'
  /** The engine enforces fences and confirmed the unload of every model under the fence `state.nextOffset` or a newer one. */
  | 'fenced'
  /** The engine answers and may still execute an order from its agent. */
  | 'reachable'

/** A right that can be granted now, and the memory that its model needs. */
export interface GrantableRight {
  readonly key: RightKey
  readonly current: RightState | undefined
  readonly memoryMb: number
}

/** Agents that can be granted rights: up, listed, and neither draining, stopping nor leaving. */
export type Candidates = readonly AgentFacts[]
