import { GATHERED_LIMIT } from './constants.js'
import { decodeState } from './stateCodec.js'

import type { LogOffset } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { SnapshotChunk } from './splitSnapshot.js'

/** A snapshot of which some chunks have been read. */
interface Gathered {
  readonly count: number
  readonly baseOffset: LogOffset
  readonly parts: ReadonlyMap<number, Uint8Array>
}

/** Incomplete snapshots by id, in the order in which they began. */
export type Gathering = ReadonlyMap<string, Gathered>

export const nothingGathered: Gathering = new Map()

/** The gathering after one more chunk. */
export interface GatherResult {
  readonly gathering: Gathering
  /** True when this chunk was the last one missing of its snapshot. */
  readonly isComplete: boolean
  /** The state, if it was wanted and its bytes are sound. */
  readonly state?: AgreedState
  /** Why a complete snapshot could not be used. */
  readonly mistake?: string
}

const NO_BYTES = new Uint8Array()

const joinParts = (parts: ReadonlyMap<number, Uint8Array>, count: number): Uint8Array =>
  Buffer.concat(Array.from({ length: count }, (_, index) => parts.get(index) ?? NO_BYTES))

const without = (gathering: Gathering, snapshotId: string): Gathering => {
  const rest = new Map(gathering)
  rest.delete(snapshotId)
  return rest
}

const withinLimit = (gathering: Gathering): Gathering => {
  const [oldest] = gathering.keys()
  return gathering.size > GATHERED_LIMIT && oldest !== undefined ? without(gathering, oldest) : gathering
}

/**
 * Adds a chunk. Snapshots of several writers may be interleaved, and a writer may die half way:
 * each snapshot is gathered under its own id and an incomplete one is given up when newer ones begin.
 * Where the state is not wanted only the indices are kept.
 */
export const gatherChunk = (gathering: Gathering, chunk: SnapshotChunk, isWanted: boolean): GatherResult => {
  const known = gathering.get(chunk.snapshotId)
  if (known && (known.count !== chunk.count || known.baseOffset !== chunk.baseOffset)) {
    return { gathering, isComplete: false, mistake: 'chunks of one snapshot contradict each other' }
  }
  const parts = new Map(known?.parts).set(chunk.index, isWanted ? chunk.bytes : NO_BYTES)
  if (parts.size < chunk.count) {
    const gathered: Gathered = { count: chunk.count, baseOffset: chunk.baseOffset, parts }
    return { gathering: withinLimit(new Map(gathering).set(chunk.snapshotId, gathered)), isComplete: false }
  }
  const rest = without(gathering, chunk.snapshotId)
  if (!isWanted) return { gathering: rest, isComplete: true }
  return decodeState(joinParts(parts, chunk.count)).caseOf<GatherResult>({
    Left: mistake => ({ gathering: rest, isComplete: true, mistake }),
    Right: state => state.nextOffset === chunk.baseOffset
      ? { gathering: rest, isComplete: true, state }
      : { gathering: rest, isComplete: true, mistake: 'the state is not of the offset that its chunks name' }
  })
}
