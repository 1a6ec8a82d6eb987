/** Bytes that arrive in pieces. */
export interface ByteStore {
  readonly append: (bytes: Buffer) => void
  readonly byteCount: () => number
  /** The bytes so far, until the next call of `append`. */
  readonly bytes: () => Buffer
  /** Returns the bytes, in a buffer of just their length, and begins anew. */
  readonly take: () => Buffer
  /** Forgets the bytes. */
  readonly clear: () => void
}

const FIRST_BYTES = 256

/**
 * Creates a store of bytes, kept in one buffer that doubles when it is full. `noteChange` is told by how much its memory changes.
 *
 * Guards against pieces of few bytes, each of which would take the memory of an object, or keep what it was read into.
 */
export const createByteStore = (noteChange: (changeBytes: number) => void = () => {}): ByteStore => {
  let buffer: Buffer = Buffer.alloc(0)
  let byteCount = 0

  const reserve = (neededBytes: number): void => {
    if (neededBytes <= buffer.length) return
    const larger = Buffer.allocUnsafeSlow(Math.max(FIRST_BYTES, neededBytes, 2 * buffer.length))
    buffer.copy(larger, 0, 0, byteCount)
    noteChange(larger.length - buffer.length)
    buffer = larger
  }

  const clear = (): void => {
    noteChange(-buffer.length)
    buffer = Buffer.alloc(0)
    byteCount = 0
  }

  const bytes = (): Buffer => buffer.subarray(0, byteCount)

  return {
    append: added => {
      reserve(byteCount + added.length)
      byteCount += added.copy(buffer, byteCount)
    },
    byteCount: () => byteCount,
    bytes,
    take: () => {
      const taken = byteCount === buffer.length ? buffer : Buffer.from(bytes())
      clear()
      return taken
    },
    clear
  }
}
