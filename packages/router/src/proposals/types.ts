import type { AgreedState, ListedInstance, MoveOptions, NewRecord, ProposalOptions } from '@figmount/records'

/**
 * Selects the records about rights that this router should propose now. Every process applies the log by the same rules (the fold), which
 * decide which records take effect.
 */
export type ProposeRights = (
  state: AgreedState, instances: readonly ListedInstance[], options: ProposalOptions & MoveOptions, nowMs: number
) => readonly NewRecord[]
