import type { FailureShare } from '@figmount/decisions'
import type { AgentState, AgentLoad, ServerEntry, ServerStart } from '@figmount/fleet'

/** What a router knows of one backend server. */
export interface KnownServer {
  /** As listed; without models when the list names those of an earlier start. */
  readonly entry: ServerEntry
  /** Its newest start that was heard of. */
  readonly start: ServerStart
  /** The agent's newest word; undefined while no agent answers for this start of the server. */
  readonly state: AgentState | undefined
  readonly load: AgentLoad | undefined
  /** The agent speaks for a later start of the server: this one is gone, though it is still listed. */
  readonly isReplaced: boolean
  /** When `state` came: the times in it count from then. */
  readonly stateAsOfMs: number
  readonly failures: FailureShare
  /** Own requests there that have no final answer. */
  readonly ownCount: number
  /** Own requests there without a first event. */
  readonly ownStartingCount: number
  /** Prompt tokens of own requests there that have no first event. */
  readonly pendingTokens: number
}
