import { RAW_BUFFER_MAX_BYTES, RAW_BUFFER_MAX_COUNT } from './constants.js'

import type { LogOffset } from '@figmount/base'
import type { RawRecord } from './types.js'

/** The latest raw records without gaps, limited by count and size. */
export interface RawBuffer {
  /** Adds the next record; a record that does not directly follow the last one empties the buffer first. */
  readonly push: (record: RawRecord) => void
  /** Records from an offset on; undefined if the first of them is no longer buffered. */
  readonly from: (offset: LogOffset, maxCount: number, maxBytes: number) => readonly RawRecord[] | undefined
}

/** Creates an empty buffer. */
export const createRawBuffer = (): RawBuffer => {
  let buffered: RawRecord[] = []
  let bufferedBytes = 0

  const dropOldest = (): void => {
    let dropCount = 0
    while (buffered.length - dropCount > RAW_BUFFER_MAX_COUNT || bufferedBytes > RAW_BUFFER_MAX_BYTES) {
      bufferedBytes -= buffered[dropCount]?.payload.byteLength ?? 0
      dropCount += 1
    }
    buffered = buffered.slice(dropCount)
  }

  return {
    push: record => {
      const last = buffered.at(-1)
      if (last && record.offset !== last.offset + 1) {
        buffered = []
        bufferedBytes = 0
      }
      buffered.push(record)
      bufferedBytes += record.payload.byteLength
      // Exceeds the limits by a quarter before dropping, so that the array is not copied for each record.
      if (buffered.length > RAW_BUFFER_MAX_COUNT * 1.25 || bufferedBytes > RAW_BUFFER_MAX_BYTES * 1.25) dropOldest()
    },
    from: (offset, maxCount, maxBytes) => {
      const first = buffered[0]
      if (!first || offset < first.offset) return undefined
      const chosen: RawRecord[] = []
      let bytes = 0
      for (const record of buffered.slice(offset - first.offset, offset - first.offset + maxCount)) {
        bytes += record.payload.byteLength
        if (chosen.length > 0 && bytes > maxBytes) break
        chosen.push(record)
      }
      return chosen
    }
  }
}
