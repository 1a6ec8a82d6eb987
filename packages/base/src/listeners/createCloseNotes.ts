import { BaseEvent } from '../events/catalogue.js'

import type { EventLog } from '../events/types.js'
import type { Metrics } from '../metrics/types.js'

/** Why a connection was closed. */
export type CloseReason = 'refused' | 'replaced' | 'shed' | 'late'

/** Counts the connections that a process closes. */
export interface CloseNotes {
  readonly note: (reason: CloseReason) => void
  /** Logs one line a reason for what was noted since the last call. */
  readonly log: (openCount: number, maxCount: number) => void
}

/** Creates the notes of one process. */
export const createCloseNotes = ({ events, metrics }: { readonly events: EventLog, readonly metrics: Metrics }): CloseNotes => {
  const counts = new Map<CloseReason, number>()
  return {
    note: reason => {
      metrics.count(`connections_${reason}_total`)
      counts.set(reason, (counts.get(reason) ?? 0) + 1)
    },
    log: (openCount, maxCount) => {
      for (const [reason, count] of counts) events.emit(BaseEvent.connectionsClosed, { reason, count, concurrentCount: openCount, maxCount })
      counts.clear()
    }
  }
}
