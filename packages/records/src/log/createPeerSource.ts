import { NOT_IN_LOG, PEER_ANSWER_MAX_BYTES, PEER_SNAPSHOT_LIFETIME_MS } from './constants.js'
import { encodeRecord } from './codec.js'
import { splitSnapshot } from '../snapshot/splitSnapshot.js'

import type { InstanceName, LogOffset, TimerService } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { RawBuffer } from './createRawBuffer.js'
import type { RawRecord } from './types.js'

interface Options {
  readonly instance: InstanceName
  readonly timers: TimerService
  readonly state: () => AgreedState
  readonly buffer: RawBuffer
  readonly nextId: () => string
}

interface PeerSnapshot {
  readonly chunks: readonly RawRecord[]
  readonly madeAtMs: number
  readonly baseOffset: LogOffset
}

/**
 * Answers peers that are behind. A peer that requests records that are no longer buffered, or the first
 * record, gets chunks of a snapshot of the current state. These never were in the log (their offset
 * is NOT_IN_LOG); the peer requests the remaining records from the snapshot's base on.
 */
export const createPeerSource = ({ instance, timers, state, buffer, nextId }: Options): ((fromOffset: LogOffset, maxCount: number) => readonly RawRecord[]) => {
  let snapshot: PeerSnapshot | undefined
  let nextIndex = 0

  const makeSnapshot = (): PeerSnapshot => {
    const current = state()
    const snapshotId = nextId()
    const chunks = splitSnapshot(current, snapshotId).map((chunk): RawRecord => ({
      offset: NOT_IN_LOG,
      appendedAtMs: current.asOfMs,
      payload: encodeRecord({ ...chunk, recordId: `${snapshotId}.${chunk.index}`, writer: instance })
    }))
    return { chunks, madeAtMs: timers.nowMs(), baseOffset: current.nextOffset }
  }

  const isCurrent = (candidate: PeerSnapshot): boolean =>
    timers.nowMs() - candidate.madeAtMs < PEER_SNAPSHOT_LIFETIME_MS && buffer.from(candidate.baseOffset, 1, 1) !== undefined

  // A large snapshot takes several answers. Each answer continues where the last one ended and wraps around
  // at the end, so that peers whose requests alternate all receive every chunk eventually.
  const nextChunks = (maxCount: number): readonly RawRecord[] => {
    if (!snapshot || !isCurrent(snapshot)) {
      snapshot = makeSnapshot()
      nextIndex = 0
    }
    const { chunks } = snapshot
    const chosen: RawRecord[] = []
    let bytes = 0
    while (chosen.length < Math.min(maxCount, chunks.length)) {
      const chunk = chunks[nextIndex % chunks.length]
      bytes += chunk?.payload.byteLength ?? 0
      if (!chunk || (chosen.length > 0 && bytes > PEER_ANSWER_MAX_BYTES)) break
      chosen.push(chunk)
      nextIndex += 1
    }
    return chosen
  }

  return (fromOffset, maxCount) => {
    if (fromOffset >= state().nextOffset) return []
    const recent = fromOffset === 0 ? undefined : buffer.from(fromOffset, maxCount, PEER_ANSWER_MAX_BYTES)
    return recent ?? nextChunks(maxCount)
  }
}
