import { MAX_LIST_READ_GAP_MS } from './constants.js'

import type { InstanceName } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { ListedInstance } from './types.js'

/** How long agents have been absent from the instance list, according to one process's reads of it. */
export interface Absences {
  /** Send time of the last read, on the process's monotonic clock. */
  readonly lastReadMs: number
  /** For each agent missing from the last read: when the first read without it was answered. */
  readonly sinceMs: ReadonlyMap<InstanceName, number>
}

export const noAbsences: Absences = { lastReadMs: -Infinity, sinceMs: new Map() }

/** One answered read of the list. Failed reads are not recorded because they do not show who is absent. */
export interface ListRead {
  readonly instances: readonly ListedInstance[]
  readonly sentAtMs: number
  readonly answeredAtMs: number
}

/**
 * Updates the absences with a read of the list. Guards against a pause of this process itself: after a
 * gap longer than MAX_LIST_READ_GAP_MS all absences start anew, because an instance may have been listed in between.
 */
export const trackAbsences = (absences: Absences, state: AgreedState, read: ListRead): Absences => {
  const isContinuous = read.sentAtMs - absences.lastReadMs <= MAX_LIST_READ_GAP_MS
  const listed = new Set(read.instances.map(instance => instance.name))
  const sinceMs = new Map<InstanceName, number>()
  for (const instance of state.agents.keys()) {
    if (listed.has(instance)) continue
    const earlierSinceMs = isContinuous ? absences.sinceMs.get(instance) : undefined
    sinceMs.set(instance, earlierSinceMs ?? read.answeredAtMs)
  }
  return { lastReadMs: read.sentAtMs, sinceMs }
}
