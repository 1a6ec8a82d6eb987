import type { AgreedState, ListedInstance, MoveFacts, NewRecord, ProposalFacts } from '@figmount/records'

/**
 * Selects the records about rights that this router should propose now. Every process applies the log by the same rules (the fold), which
 * decide which records take effect.
 */
export type ProposeRights = (
  state: AgreedState, instances: readonly ListedInstance[], facts: ProposalFacts & MoveFacts, nowMs: number
) => readonly NewRecord[]
