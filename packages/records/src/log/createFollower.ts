import { emptyState } from '../fold/emptyState.js'
import { foldRecords } from '../fold/foldRecords.js'
import { gatherChunk, nothingGathered } from '../snapshot/gatherChunks.js'
import { placeRecord } from './codec.js'
import { NOT_IN_LOG, PENDING_MAX_BYTES } from './constants.js'

import type { LogOffset } from '@figmount/base'
import type { AgreedState, FoldInput, FoldOutcome } from '../fold/types.js'
import type { SnapshotChunk } from '../snapshot/splitSnapshot.js'
import type { RawRecord } from './types.js'

/** What a follower tells of its progress. */
export interface FollowerEvents {
  /** Records were folded; `outcomes[i]` belongs to `records[i]`. */
  readonly onFolded: (records: readonly FoldInput[], outcomes: readonly FoldOutcome[], raw: readonly RawRecord[]) => void
  /** The state jumped forward to a snapshot. */
  readonly onRebuilt: (state: AgreedState, from: 'log' | 'peer') => void
  readonly onSnapshotRefused: (mistake: string) => void
  /** A snapshot of the log is complete, whether or not it was needed. */
  readonly onSnapshotSeen: (baseOffset: LogOffset, completedAtMs: number) => void
}

/**
 * Follows the log from raw records of any origin: the log, peers, snapshots of either.
 * The state only goes forward: what lies below its next offset is passed over.
 */
export interface Follower {
  readonly state: () => AgreedState
  /** The offset from which the log is to be read. */
  readonly position: () => LogOffset
  /** True while records are missing between the state and the log's oldest record. */
  readonly isBlocked: () => boolean
  /** Takes records of the log in order, from `position` on; `oldestOffset` is the log's. */
  readonly takeFromLog: (records: readonly RawRecord[], oldestOffset: LogOffset) => void
  readonly takeFromPeer: (records: readonly RawRecord[]) => void
}

interface ReadRecord {
  readonly raw: RawRecord
  readonly input: FoldInput
}

const readOne = (raw: RawRecord): ReadRecord => ({ raw, input: placeRecord(raw) })

const chunkOf = (input: FoldInput): SnapshotChunk | undefined =>
  'record' in input && input.record.kind === 'snapshot.chunk' ? input.record : undefined

/** The records that follow an offset without a gap, doubles and earlier ones left out. */
const consecutiveFrom = (records: readonly ReadRecord[], nextOffset: LogOffset): readonly ReadRecord[] => {
  const chosen: ReadRecord[] = []
  for (const record of records) {
    if (record.raw.offset === nextOffset + chosen.length) chosen.push(record)
  }
  return chosen
}

/** Makes a follower that has read nothing. */
export const createFollower = (events: FollowerEvents): Follower => {
  let state = emptyState
  let fromLog = nothingGathered
  let fromPeers = nothingGathered
  // Records of the log that can't be folded yet because earlier ones have expired.
  let pending: ReadRecord[] = []
  let pendingBytes = 0
  let blocked = false
  let position = emptyState.nextOffset

  const fold = (records: readonly ReadRecord[]): void => {
    const due = consecutiveFrom(records, state.nextOffset)
    if (due.length === 0) return
    const inputs = due.map(({ input }) => input)
    const folded = foldRecords(state, inputs)
    state = folded.state
    if (!blocked) position = state.nextOffset
    events.onFolded(inputs, folded.outcomes, due.map(({ raw }) => raw))
  }

  const unblock = (): void => {
    if ((pending[0]?.raw.offset ?? position) > state.nextOffset) return
    const records = pending
    pending = []
    pendingBytes = 0
    blocked = false
    position = state.nextOffset
    fold(records)
  }

  const adopt = (snapshot: AgreedState, from: 'log' | 'peer'): void => {
    if (snapshot.nextOffset <= state.nextOffset) return
    state = snapshot
    events.onRebuilt(state, from)
    if (!blocked) position = state.nextOffset
    if (blocked) unblock()
  }

  const keepPending = (record: ReadRecord): void => {
    pending.push(record)
    pendingBytes += record.raw.payload.byteLength
    // Guards against a log without a complete snapshot: waiting for one must not fill the memory.
    while (pendingBytes > PENDING_MAX_BYTES) pendingBytes -= pending.shift()?.raw.payload.byteLength ?? 0
  }

  // A snapshot whose base has expired as well can't be brought up to date from the log.
  const isUsable = (snapshot: AgreedState): boolean =>
    blocked && snapshot.nextOffset >= (pending[0]?.raw.offset ?? Infinity)

  const gatherFromLog = (chunk: SnapshotChunk, completedAtMs: number): void => {
    const result = gatherChunk(fromLog, chunk, blocked)
    fromLog = result.gathering
    if (result.mistake) events.onSnapshotRefused(result.mistake)
    if (result.isComplete) events.onSnapshotSeen(chunk.baseOffset, completedAtMs)
    if (result.state && isUsable(result.state)) adopt(result.state, 'log')
  }

  const takeFromLog = (records: readonly RawRecord[], oldestOffset: LogOffset): void => {
    if (oldestOffset > position) {
      blocked = true
      pending = []
      pendingBytes = 0
      fromLog = nothingGathered
      position = oldestOffset
    }
    const read = records.filter(raw => raw.offset >= position).map(readOne)
    if (!blocked) fold(read)
    for (const record of read) {
      if (blocked) {
        keepPending(record)
        position = (record.raw.offset + 1) as LogOffset
      }
      const chunk = chunkOf(record.input)
      if (chunk) gatherFromLog(chunk, record.raw.appendedAtMs)
    }
    // What came behind the chunk that completed a snapshot.
    if (!blocked) fold(read)
  }

  const takeFromPeer = (records: readonly RawRecord[]): void => {
    const tail: ReadRecord[] = []
    for (const record of records.map(readOne)) {
      const chunk = chunkOf(record.input)
      if (!chunk || record.raw.offset !== NOT_IN_LOG) {
        tail.push(record)
        continue
      }
      const result = gatherChunk(fromPeers, chunk, chunk.baseOffset > state.nextOffset)
      fromPeers = result.gathering
      if (result.mistake) events.onSnapshotRefused(result.mistake)
      if (result.state) adopt(result.state, 'peer')
    }
    fold(tail)
    if (blocked) unblock()
  }

  return { state: () => state, position: () => position, isBlocked: () => blocked, takeFromLog, takeFromPeer }
}
