import { NOT_IN_LOG, OFFER_MAX_BYTES, PEER_SNAPSHOT_MS } from './constants.js'
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

interface Prepared {
  readonly chunks: readonly RawRecord[]
  readonly madeAtMs: number
  readonly baseOffset: LogOffset
}

/**
 * Answers peers that are behind. Whoever asks for records that are no longer kept, or for the
 * first one, gets a snapshot of the present state in chunks that never were in the log (their
 * offset is NOT_IN_LOG), and asks for the rest from the snapshot's base on.
 */
export const createPeerSource = ({ instance, timers, state, buffer, nextId }: Options): ((fromOffset: LogOffset, maxCount: number) => readonly RawRecord[]) => {
  let prepared: Prepared | undefined
  let nextIndex = 0

  const prepare = (): Prepared => {
    const present = state()
    const snapshotId = nextId()
    const chunks = splitSnapshot(present, snapshotId).map((chunk): RawRecord => ({
      offset: NOT_IN_LOG,
      appendedAtMs: present.asOfMs,
      payload: encodeRecord({ ...chunk, recordId: `${snapshotId}.${chunk.index}`, writer: instance })
    }))
    return { chunks, madeAtMs: timers.nowMs(), baseOffset: present.nextOffset }
  }

  const isCurrent = (made: Prepared): boolean =>
    timers.nowMs() - made.madeAtMs < PEER_SNAPSHOT_MS && buffer.from(made.baseOffset, 1, 1) !== undefined

  // A large snapshot takes several answers. Each goes on where the last one ended and begins
  // anew after the end, so that peers that ask in turn all see every chunk sooner or later.
  const nextChunks = (maxCount: number): readonly RawRecord[] => {
    if (!prepared || !isCurrent(prepared)) {
      prepared = prepare()
      nextIndex = 0
    }
    const { chunks } = prepared
    const chosen: RawRecord[] = []
    let bytes = 0
    while (chosen.length < Math.min(maxCount, chunks.length)) {
      const chunk = chunks[nextIndex % chunks.length]
      bytes += chunk?.payload.byteLength ?? 0
      if (!chunk || (chosen.length > 0 && bytes > OFFER_MAX_BYTES)) break
      chosen.push(chunk)
      nextIndex += 1
    }
    return chosen
  }

  return (fromOffset, maxCount) => {
    if (fromOffset >= state().nextOffset) return []
    const kept = fromOffset === 0 ? undefined : buffer.from(fromOffset, maxCount, OFFER_MAX_BYTES)
    return kept ?? nextChunks(maxCount)
  }
}
