import { LIST_GAP_MS } from './constants.js'

import type { InstanceName } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { ListedInstance } from './types.js'

/** For how long agents have been off the instance list, by the reads of one process. */
export interface Absences {
  /** Send time of the last read, on the process's monotonic clock. */
  readonly lastReadMs: number
  /** For each agent that the last read did not name: when the first read that missed it was answered. */
  readonly sinceMs: ReadonlyMap<InstanceName, number>
}

export const noAbsences: Absences = { lastReadMs: -Infinity, sinceMs: new Map() }

/** One answered read of the list. Failed reads are left out: they say nothing. */
export interface ListRead {
  readonly instances: readonly ListedInstance[]
  readonly sentAtMs: number
  readonly answeredAtMs: number
}

/**
 * Takes in a read of the list. Guards against the pause of this process itself: after a gap longer
 * than LIST_GAP_MS all counts begin anew, because an instance may have been back in between.
 */
export const trackAbsences = (absences: Absences, state: AgreedState, read: ListRead): Absences => {
  const isContinuous = read.sentAtMs - absences.lastReadMs <= LIST_GAP_MS
  const listed = new Set(read.instances.map(instance => instance.name))
  const sinceMs = new Map<InstanceName, number>()
  for (const instance of state.agents.keys()) {
    if (listed.has(instance)) continue
    const known = isContinuous ? absences.sinceMs.get(instance) : undefined
    sinceMs.set(instance, known ?? read.answeredAtMs)
  }
  return { lastReadMs: read.sentAtMs, sinceMs }
}
