import { emptyState } from '../fold/emptyState.js'
import { foldRecords } from '../fold/foldRecords.js'
import { addChunk, noIncompleteSnapshots } from '../snapshot/addChunk.js'
import { decodeRawRecord } from './codec.js'
import { NOT_IN_LOG, PENDING_MAX_BYTES } from './constants.js'

import type { LogOffset } from '@figmount/base'
import type { AgreedState, FoldInput, FoldOutcome } from '../fold/types.js'
import type { SnapshotChunk } from '../snapshot/splitSnapshot.js'
import type { RawRecord } from './types.js'

/** Callbacks of a follower. */
export interface FollowerCallbacks {
  /** Records were folded; `outcomes[i]` belongs to `records[i]`. */
  readonly onFolded: (records: readonly FoldInput[], outcomes: readonly FoldOutcome[], raw: readonly RawRecord[]) => void
  /** The state was replaced by a later one from a snapshot. */
  readonly onRebuilt: (state: AgreedState, from: 'log' | 'peer') => void
  readonly onSnapshotRefused: (reason: string) => void
  /** A complete snapshot was read from the log, whether or not it was needed. */
  readonly onSnapshotSeen: (baseOffset: LogOffset, completedAtMs: number) => void
}

/**
 * Follows the log from raw records of any origin: the log, peers, and snapshots from either.
 * The state only advances: records below its next offset are ignored.
 */
export interface Follower {
  readonly state: () => AgreedState
  /** The offset from which to read the log next. */
  readonly position: () => LogOffset
  /** True while records between the state and the log's oldest record are missing. */
  readonly isBlocked: () => boolean
  /** Applies records of the log in order, from `position` on; `oldestOffset` is the log's oldest offset. */
  readonly takeFromLog: (records: readonly RawRecord[], oldestOffset: LogOffset) => void
  readonly takeFromPeer: (records: readonly RawRecord[]) => void
}

interface DecodedRecord {
  readonly raw: RawRecord
  readonly input: FoldInput
}

const decodeOne = (raw: RawRecord): DecodedRecord => ({ raw, input: decodeRawRecord(raw) })

const chunkOf = (input: FoldInput): SnapshotChunk | undefined =>
  'record' in input && input.record.kind === 'snapshot.chunk' ? input.record : undefined

/** The records that follow an offset without a gap, without duplicates and earlier ones. */
const consecutiveFrom = (records: readonly DecodedRecord[], nextOffset: LogOffset): readonly DecodedRecord[] => {
  const chosen: DecodedRecord[] = []
  for (const record of records) {
    if (record.raw.offset === nextOffset + chosen.length) chosen.push(record)
  }
  return chosen
}

/** Creates a follower with the empty state. */
export const createFollower = (callbacks: FollowerCallbacks): Follower => {
  let state = emptyState
  let incompleteFromLog = noIncompleteSnapshots
  let incompleteFromPeers = noIncompleteSnapshots
  // Records of the log that can't be folded yet because earlier ones have expired.
  let pending: DecodedRecord[] = []
  let pendingBytes = 0
  let isBlocked = false
  let position = emptyState.nextOffset

  const fold = (records: readonly DecodedRecord[]): void => {
    const consecutive = consecutiveFrom(records, state.nextOffset)
    if (consecutive.length === 0) return
    const inputs = consecutive.map(({ input }) => input)
    const folded = foldRecords(state, inputs)
    state = folded.state
    if (!isBlocked) position = state.nextOffset
    callbacks.onFolded(inputs, folded.outcomes, consecutive.map(({ raw }) => raw))
  }

  const unblock = (): void => {
    if ((pending[0]?.raw.offset ?? position) > state.nextOffset) return
    const records = pending
    pending = []
    pendingBytes = 0
    isBlocked = false
    position = state.nextOffset
    fold(records)
  }

  const adoptSnapshot = (snapshot: AgreedState, from: 'log' | 'peer'): void => {
    if (snapshot.nextOffset <= state.nextOffset) return
    state = snapshot
    callbacks.onRebuilt(state, from)
    if (!isBlocked) position = state.nextOffset
    if (isBlocked) unblock()
  }

  const addPending = (record: DecodedRecord): void => {
    pending.push(record)
    pendingBytes += record.raw.payload.byteLength
    // Guards against a log without a complete snapshot: waiting for one must not exhaust memory.
    while (pendingBytes > PENDING_MAX_BYTES) pendingBytes -= pending.shift()?.raw.payload.byteLength ?? 0
  }

  // A snapshot is useless if the first record after it has expired as well: the log can't bring it up to date.
  const isUsable = (snapshot: AgreedState): boolean =>
    isBlocked && snapshot.nextOffset >= (pending[0]?.raw.offset ?? Infinity)

  const gatherFromLog = (chunk: SnapshotChunk, completedAtMs: number): void => {
    const result = addChunk(incompleteFromLog, chunk, isBlocked)
    incompleteFromLog = result.gathering
    if (result.mistake) callbacks.onSnapshotRefused(result.mistake)
    if (result.isComplete) callbacks.onSnapshotSeen(chunk.baseOffset, completedAtMs)
    if (result.state && isUsable(result.state)) adoptSnapshot(result.state, 'log')
  }

  const takeFromLog = (records: readonly RawRecord[], oldestOffset: LogOffset): void => {
    if (oldestOffset > position) {
      isBlocked = true
      pending = []
      pendingBytes = 0
      incompleteFromLog = noIncompleteSnapshots
      position = oldestOffset
    }
    const decoded = records.filter(raw => raw.offset >= position).map(decodeOne)
    if (!isBlocked) fold(decoded)
    for (const record of decoded) {
      if (isBlocked) {
        addPending(record)
        position = (record.raw.offset + 1) as LogOffset
      }
      const chunk = chunkOf(record.input)
      if (chunk) gatherFromLog(chunk, record.raw.appendedAtMs)
    }
    // Folds the records after the chunk that completed a snapshot.
    if (!isBlocked) fold(decoded)
  }

  const takeFromPeer = (records: readonly RawRecord[]): void => {
    const tail: DecodedRecord[] = []
    for (const record of records.map(decodeOne)) {
      const chunk = chunkOf(record.input)
      if (!chunk || record.raw.offset !== NOT_IN_LOG) {
        tail.push(record)
        continue
      }
      const result = addChunk(incompleteFromPeers, chunk, chunk.baseOffset > state.nextOffset)
      incompleteFromPeers = result.gathering
      if (result.mistake) callbacks.onSnapshotRefused(result.mistake)
      if (result.state) adoptSnapshot(result.state, 'peer')
    }
    fold(tail)
    if (isBlocked) unblock()
  }

  return { state: () => state, position: () => position, isBlocked: () => isBlocked, takeFromLog, takeFromPeer }
}
