import type { InstanceName, ModelId } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { RightKey, RightState } from '../rights/types.js'

/** What a proposal needs of the platform's instance list. */
export interface ListedInstance {
  readonly name: InstanceName
  /** The platform has announced that the instance goes away. */
  readonly leaving: boolean
  /** Its agent has told that it stops. It may come back, so its rights stay; it is granted no further ones. */
  readonly stopping?: boolean
}

/** What a proposer knows beside the agreed state. */
export interface ProposalFacts {
  /** Whether this process is the one to propose for a model or plain service; asked only where something is to be done. */
  readonly mayPropose: (target: string) => boolean
  /** Most records in one round; PROPOSAL_BATCH if left out. */
  readonly maxCount?: number
}

/** What a proposer of moves knows beside the agreed state. */
export interface MoveFacts extends Pick<ProposalFacts, 'mayPropose'> {
  /** Whether an agent is known to have the model loaded or loading; false where nothing is known. */
  readonly isLoaded: (instance: InstanceName, target: ModelId) => boolean
}

/** What an engine says to a proposer that looks for it. */
export type EngineReach =
  /** It does not answer. */
  | 'unreachable'
  /** It answers, enforces fences, and confirmed an unload of every model under the fence `state.nextOffset` or a newer one. */
  | 'fenced'
  /** It answers and may still carry out an order of its agent. */
  | 'reachable'

/** A right to be granted and the size of what it lets load. */
export interface OpenRight {
  readonly key: RightKey
  readonly current: RightState | undefined
  readonly memoryMb: number
}

/** Where rights can go: agents that are up, listed, and neither drain nor leave. */
export type Candidates = readonly AgentFacts[]
