import type { AgreedState, ListedInstance, MoveFacts, NewRecord, ProposalFacts } from '@figmount/records'

/** Picks the records on rights that this router should propose now; the fold decides which of them count. */
export type ProposeRights = (
  state: AgreedState, instances: readonly ListedInstance[], facts: ProposalFacts & MoveFacts, nowMs: number
) => readonly NewRecord[]
