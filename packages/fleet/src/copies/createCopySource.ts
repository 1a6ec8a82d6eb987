import { deflateRawSync } from 'node:zlib'

import type { FeedRecord } from '../feeds/types.js'
import type { DeploymentAsked, DeploymentPiece } from '../messages/types.js'

/** Size of a piece: it takes 13 ms on a link of 10 Mbit/s, so that other messages wait no longer than that. */
const PIECE_BYTES = 16_384

/** Copies kept, so that a fetch ends that began before a newer configuration came. */
const MAX_KEPT = 3

/** Compressed copies of the newest configurations of a process, for its peers. */
export interface CopySource {
  /** The piece asked for, or the first piece of the newest configuration if that one is gone; undefined if there is none. */
  readonly pieceOf: (asked: DeploymentAsked) => DeploymentPiece | undefined
}

/** Creates the source of a process that has decoded `newest`. A copy is compressed when it is first asked for. */
export const createCopySource = (newest: () => FeedRecord | undefined): CopySource => {
  const copies = new Map<number, Uint8Array>()

  const keep = ({ offset, value }: FeedRecord): void => {
    if (!value || copies.has(offset)) return
    copies.set(offset, deflateRawSync(value))
    for (const old of copies.keys()) {
      if (copies.size > MAX_KEPT) copies.delete(old)
    }
  }

  return {
    pieceOf: asked => {
      const record = newest()
      if (!record) return undefined
      keep(record)
      const isKept = copies.has(asked.offset)
      const offset = isKept ? asked.offset : record.offset
      const index = isKept ? asked.index : 0
      const copy = copies.get(offset)
      const count = Math.ceil((copy?.length ?? 0) / PIECE_BYTES)
      if (!copy || index >= count) return undefined
      return { type: 'deploymentPiece', offset, index, count, key: record.key, bytes: copy.subarray(index * PIECE_BYTES, (index + 1) * PIECE_BYTES) }
    }
  }
}
