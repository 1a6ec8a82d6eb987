import { noAbsences, trackAbsences } from '@figmount/records'

import type { InstanceName } from '@figmount/base'
import type { Absences, AgreedState } from '@figmount/records'
import type { InstanceList, ListedInstance } from './types.js'

/** The platform's instance list and the entries it had before. */
export interface Membership {
  readonly list: () => InstanceList
  readonly updateList: (list: InstanceList) => void
  /** Address for peer links to an instance; undefined if the instance was never listed. */
  readonly peerAddressOf: (instance: InstanceName) => string | undefined
  /** Last listed address of the backend server beside an agent, even if the agent is no longer listed. */
  readonly backendAddressOf: (instance: InstanceName) => string | undefined
  readonly routers: () => readonly InstanceName[]
  /** Times since which agents recorded in the log are missing from the list. */
  readonly absences: () => Absences
  readonly absentForMs: (instance: InstanceName) => number
}

/** Maximum number of entries stored, including instances that are no longer listed; about 200 bytes each. */
const MAX_ENTRIES = 20_000

/** Tracks membership. The list lags behind, so the last listed address of an instance stays in use until a new one is listed. */
export const createMembership = (state: () => AgreedState): Membership => {
  const lastEntries = new Map<InstanceName, ListedInstance>()
  let absences = noAbsences
  let list: InstanceList = { instances: new Map(), sentAtMs: -Infinity, answeredAtMs: -Infinity }

  const remember = (entry: ListedInstance): void => {
    lastEntries.delete(entry.name)
    lastEntries.set(entry.name, entry)
    const [oldest] = lastEntries.keys()
    if (lastEntries.size > MAX_ENTRIES && oldest) lastEntries.delete(oldest)
  }

  return {
    list: () => list,
    updateList: read => {
      list = read
      for (const entry of read.instances.values()) remember(entry)
      absences = trackAbsences(absences, state(), { ...read, instances: [...read.instances.values()] })
    },
    peerAddressOf: instance => lastEntries.get(instance)?.peerAddress,
    backendAddressOf: instance => lastEntries.get(instance)?.backendAddress || undefined,
    routers: () => [...list.instances.values()].filter(entry => entry.role === 'router' && !entry.leaving).map(entry => entry.name),
    absences: () => absences,
    absentForMs: instance => {
      const sinceMs = absences.sinceMs.get(instance)
      return sinceMs === undefined ? 0 : absences.lastReadMs - sinceMs
    }
  }
}
