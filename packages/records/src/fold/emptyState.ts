import type { LogOffset } from '@figmount/base'
import type { AgreedState } from './types.js'

/** The state before the log's first record, which has offset 0. */
export const emptyState: AgreedState = {
  nextOffset: 0 as LogOffset,
  asOfMs: 0,
  items: new Map(),
  history: new Map(),
  agents: new Map(),
  rights: new Map(),
  suspects: new Map(),
  recentRecordIds: new Set()
}
