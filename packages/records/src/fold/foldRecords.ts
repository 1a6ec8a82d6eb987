import { match } from 'ts-pattern'

import { applyAgentUp } from '../agents/applyAgentUp.js'
import { applyDrainSet } from '../agents/applyDrainSet.js'
import { applyInstanceVoid } from '../agents/applyInstanceVoid.js'
import { applyConfigSet } from '../config/applyConfigSet.js'
import { applyGrant } from '../rights/applyGrant.js'
import { applyRelease, applyRenew, applyRevoke } from '../rights/applyRightChange.js'
import { applySuspectAdd, applySuspectClear } from '../suspects/applySuspect.js'
import { MAX_RECENT_RECORD_IDS } from './constants.js'
import { openDraft } from './openDraft.js'
import { applied, ignored } from './outcomes.js'

import type { LogOffset } from '@figmount/base'
import type { Draft } from './openDraft.js'
import type { AgreedState, FoldInput, FoldOutcome, PlacedRecord } from './types.js'

/** The outcome of a record whose id was folded before. */
export const duplicateOutcome: FoldOutcome = ignored('a second copy of the record')

/** The result of folding a batch; `outcomes[i]` belongs to the i-th record. */
export interface FoldResult {
  readonly state: AgreedState
  readonly outcomes: readonly FoldOutcome[]
}

// Guards against an append that the network delivers twice, or that its writer repeats because the
// answer was lost: without it a drain that has ended since would begin again.
const isDuplicate = (draft: Draft, recordId: string): boolean => {
  if (draft.state.recentRecordIds.has(recordId)) return true
  const ids = draft.change('recentRecordIds')
  ids.add(recordId)
  const [oldest] = ids
  if (oldest !== undefined && ids.size > MAX_RECENT_RECORD_IDS) ids.delete(oldest)
  return false
}

const applyByKind = (draft: Draft, placed: PlacedRecord): FoldOutcome =>
  match(placed.record)
    .with({ kind: 'config.set' }, record => applyConfigSet(draft, placed, record))
    .with({ kind: 'agent.up' }, record => applyAgentUp(draft, placed, record))
    .with({ kind: 'right.grant' }, record => applyGrant(draft, placed, record))
    .with({ kind: 'right.revoke' }, record => applyRevoke(draft, record))
    .with({ kind: 'right.release' }, record => applyRelease(draft, record))
    .with({ kind: 'right.renew' }, record => applyRenew(draft, record))
    .with({ kind: 'instance.void' }, record => applyInstanceVoid(draft, record))
    .with({ kind: 'drain.set' }, record => applyDrainSet(draft, record))
    .with({ kind: 'suspect.add' }, record => applySuspectAdd(draft, record))
    .with({ kind: 'suspect.clear' }, record => applySuspectClear(draft, record))
    // Chunks carry state to processes that have none; a process that folds already has it.
    .with({ kind: 'snapshot.chunk' }, () => applied)
    .exhaustive()

const applyNext = (draft: Draft, input: FoldInput): FoldOutcome => {
  const { state } = draft
  if (input.offset < state.nextOffset) return ignored('folded already')
  if (input.offset > state.nextOffset) return ignored(`records from ${state.nextOffset} on are missing`)
  // The log's clock may step back, but the state's must not: the delay after a void could otherwise end and begin again.
  draft.step((input.offset + 1) as LogOffset, Math.max(state.asOfMs, input.appendedAtMs))
  if ('unreadable' in input) return ignored(input.unreadable)
  if (input.record.kind === 'snapshot.chunk') return applied
  if (isDuplicate(draft, input.record.recordId)) return duplicateOutcome
  return applyByKind(draft, input)
}

/**
 * Folds records in the order of the log. Records below the state's next offset are ignored, and so are
 * all records after a gap. Each collection of the state is copied at most once per batch.
 */
export const foldRecords = (state: AgreedState, records: readonly FoldInput[]): FoldResult => {
  if (records.length === 0) return { state, outcomes: [] }
  const draft = openDraft(state)
  const outcomes = records.map(record => applyNext(draft, record))
  return { state: draft.state, outcomes }
}
