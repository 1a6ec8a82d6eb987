import { RECENT_RAW_BYTES, RECENT_RAW_COUNT } from './constants.js'

import type { LogOffset } from '@figmount/base'
import type { RawRecord } from './types.js'

/** The latest records as raw bytes, without gaps, bounded by count and bytes. */
export interface RawBuffer {
  /** Takes the next record; one that does not follow the last starts the buffer anew. */
  readonly push: (record: RawRecord) => void
  /** Records from an offset on, or undefined if the first of them is no longer kept. */
  readonly from: (offset: LogOffset, maxCount: number, maxBytes: number) => readonly RawRecord[] | undefined
}

/** Makes an empty buffer. */
export const createRawBuffer = (): RawBuffer => {
  let kept: RawRecord[] = []
  let keptBytes = 0

  const dropOldest = (): void => {
    let dropCount = 0
    while (kept.length - dropCount > RECENT_RAW_COUNT || keptBytes > RECENT_RAW_BYTES) {
      keptBytes -= kept[dropCount]?.payload.byteLength ?? 0
      dropCount += 1
    }
    kept = kept.slice(dropCount)
  }

  return {
    push: record => {
      const last = kept.at(-1)
      if (last && record.offset !== last.offset + 1) {
        kept = []
        keptBytes = 0
      }
      kept.push(record)
      keptBytes += record.payload.byteLength
      // A quarter above the bound, so that dropping does not copy the array for each record.
      if (kept.length > RECENT_RAW_COUNT * 1.25 || keptBytes > RECENT_RAW_BYTES * 1.25) dropOldest()
    },
    from: (offset, maxCount, maxBytes) => {
      const first = kept[0]
      if (!first || offset < first.offset) return undefined
      const chosen: RawRecord[] = []
      let bytes = 0
      for (const record of kept.slice(offset - first.offset, offset - first.offset + maxCount)) {
        bytes += record.payload.byteLength
        if (chosen.length > 0 && bytes > maxBytes) break
        chosen.push(record)
      }
      return chosen
    }
  }
}
