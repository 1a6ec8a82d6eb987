import type { AgreedState, ListedInstance, MoveOptions, NewRecord, ProposalOptions } from '@figmount/records'

/** Selects the rights records that this router should propose now; the fold decides which of them take effect. */
export type ProposeRights = (
  state: AgreedState, instances: readonly ListedInstance[], facts: ProposalOptions & MoveOptions, nowMs: number
) => readonly NewRecord[]
