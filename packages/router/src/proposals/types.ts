import type { AgreedState, ListedInstance, MoveFacts, NewRecord, ProposalFacts } from '@figmount/records'

/** Selects the rights records that this router should propose now; the fold decides which of them take effect. */
export type ProposeRights = (
  state: AgreedState, instances: readonly ListedInstance[], facts: ProposalFacts & MoveFacts, nowMs: number
) => readonly NewRecord[]
