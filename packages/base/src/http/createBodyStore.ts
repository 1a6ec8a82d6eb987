import { createByteStore } from '../bytes/createByteStore.js'

import type { ByteStore } from '../bytes/createByteStore.js'

/** Chunks of a body of which any length is taken. */
const ANY_LENGTH_COUNT = 4_096

/** Least mean length of a body's chunks, if there are more. */
const MIN_MEAN_BYTES = 8

/** Why a body is not read on. */
export type BodyFlaw = 'tooLarge' | 'tinyChunks'

/** The bytes of one body as they arrive. */
export interface BodyStore extends ByteStore {
  /** What would be wrong with the body if it had this chunk, too; undefined if the chunk may be appended. */
  readonly flawWith: (chunk: Buffer) => BodyFlaw | undefined
}

/**
 * Creates a store for a body of up to `maxBytes`; `noteChange` as for `createByteStore`.
 *
 * Guards against too many short chunks: each costs time and, until it is read, memory of its own, however short it is. A body of 8 MB in
 * chunks of one byte keeps a process busy for seconds.
 */
export const createBodyStore = (maxBytes: number, noteChange?: (changeBytes: number) => void): BodyStore => {
  const store = createByteStore(noteChange)
  let chunkCount = 0
  return {
    ...store,
    append: chunk => {
      chunkCount += 1
      store.append(chunk)
    },
    flawWith: chunk => {
      const byteCount = store.byteCount() + chunk.length
      if (byteCount > maxBytes) return 'tooLarge'
      const isTiny = chunkCount >= ANY_LENGTH_COUNT && byteCount < (chunkCount + 1) * MIN_MEAN_BYTES
      return isTiny ? 'tinyChunks' : undefined
    }
  }
}
