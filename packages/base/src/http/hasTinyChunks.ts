/** Chunks of an answer of which any length is taken. */
const ANY_LENGTH_COUNT = 4_096

/** Least mean length of an answer's chunks, if there are more. */
const MIN_MEAN_BYTES = 8

/**
 * Whether an answer comes in too many short chunks. Each chunk costs time and, until it is read, memory of its own, however short it is:
 * an answer of 8 MB in chunks of one byte keeps a process busy for seconds.
 */
export const hasTinyChunks = (byteCount: number, chunkCount: number): boolean =>
  chunkCount > ANY_LENGTH_COUNT && byteCount < chunkCount * MIN_MEAN_BYTES
