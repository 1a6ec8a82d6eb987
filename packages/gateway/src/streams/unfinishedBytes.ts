import { MAX_UNFINISHED_BYTES } from './constants.js'

let byteCount = 0

/** Memory that all streams of the process take for events that are not complete. */
export const unfinishedBytes = {
  /** `changeBytes`: negative for memory that is given back. */
  add: (changeBytes: number): void => { byteCount += changeBytes },
  count: (): number => byteCount,
  /** True if an event that is not short may not grow any more. */
  isFull: (): boolean => byteCount > MAX_UNFINISHED_BYTES
}
