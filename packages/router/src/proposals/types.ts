import type { InstanceName } from '@figmount/base'
import type { AgreedState, NewRecord } from '@figmount/records'

/** What rights are proposed from. */
export interface ProposalView {
  readonly state: AgreedState
  /** Agents that the platform's list names as live. */
  readonly liveAgents: ReadonlySet<InstanceName>
  readonly maxCount: number
}

/** Picks records on rights that should be proposed now; the fold decides which of them count. */
export type ProposeRights = (view: ProposalView) => readonly NewRecord[]
