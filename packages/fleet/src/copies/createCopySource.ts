import { deflateRawSync } from 'node:zlib'

import type { DeploymentCopy } from '../deployment/createNewestDeployment.js'
import type { DeploymentAsked, DeploymentPiece } from '../messages/types.js'

/** Size of a piece: it takes 13 ms on a link of 10 Mbit/s, so that other messages wait no longer than that. */
const PIECE_BYTES = 16_384

/** Copies kept, so that a fetch ends that began before a newer configuration came. */
const MAX_KEPT = 3

/** A compressed copy and where its record stands. */
interface KeptCopy {
  readonly key: string
  readonly offset: number
  readonly bytes: Uint8Array
}

/** Compressed copies of the newest configurations of a process, for its peers. */
export interface CopySource {
  /** The piece asked for, or the first piece of the newest configuration if that one is gone; undefined if there is none. */
  readonly pieceOf: (asked: DeploymentAsked) => DeploymentPiece | undefined
}

/** Creates the source of a process that has decoded `newest`. A copy is compressed when it is first asked for. */
export const createCopySource = (newest: () => DeploymentCopy | undefined): CopySource => {
  const copies = new Map<number, KeptCopy>()

  const keep = ({ version, record: { key, value, offset } }: DeploymentCopy): void => {
    if (!value || copies.has(version)) return
    copies.set(version, { key, offset, bytes: deflateRawSync(value) })
    for (const old of copies.keys()) {
      if (copies.size > MAX_KEPT) copies.delete(old)
    }
  }

  return {
    pieceOf: asked => {
      const current = newest()
      if (!current) return undefined
      keep(current)
      const isKept = copies.has(asked.version)
      const version = isKept ? asked.version : current.version
      const index = isKept ? asked.index : 0
      const copy = copies.get(version)
      const count = Math.ceil((copy?.bytes.length ?? 0) / PIECE_BYTES)
      if (!copy || index >= count) return undefined
      const { key, offset, bytes } = copy
      return { type: 'deploymentPiece', version, offset, index, count, key, bytes: bytes.subarray(index * PIECE_BYTES, (index + 1) * PIECE_BYTES) }
    }
  }
}
