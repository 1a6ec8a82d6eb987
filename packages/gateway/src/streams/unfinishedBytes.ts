import { MAX_UNFINISHED_BYTES } from './constants.js'

let byteCount = 0

/** Memory that all streams of the process take for events that are not complete. */
export const unfinishedBytes = {
  add: (bytes: number): void => { byteCount += bytes },
  remove: (bytes: number): void => { byteCount -= bytes },
  count: (): number => byteCount,
  /** True if an event that is not short may not grow any more. */
  isFull: (): boolean => byteCount > MAX_UNFINISHED_BYTES
}
