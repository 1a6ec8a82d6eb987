import { noAbsences, trackAbsences } from '@figmount/records'

import type { InstanceName } from '@figmount/base'
import type { Absences, AgreedState } from '@figmount/records'
import type { InstanceList, ListedInstance } from './types.js'

/** The platform's instance list and what it said before. */
export interface Membership {
  readonly list: () => InstanceList
  readonly takeList: (list: InstanceList) => void
  /** Where an instance listens for peers; undefined if no list has ever named it. */
  readonly peerAddressOf: (instance: InstanceName) => string | undefined
  /** The last address of the backend server beside an agent, also after the list has dropped it. */
  readonly backendAddressOf: (instance: InstanceName) => string | undefined
  readonly routers: () => readonly InstanceName[]
  /** Since when agents that the log knows have been off the list. */
  readonly absences: () => Absences
  readonly absentForMs: (instance: InstanceName) => number
}

/** Instances remembered after the list has dropped them; about 200 bytes each. */
const MAX_REMEMBERED = 20_000

/** Keeps membership. The list lags, so an address that it named once stays in use until it names another. */
export const createMembership = (state: () => AgreedState): Membership => {
  const known = new Map<InstanceName, ListedInstance>()
  let absences = noAbsences
  let list: InstanceList = { instances: new Map(), sentAtMs: -Infinity, answeredAtMs: -Infinity }

  const remember = (entry: ListedInstance): void => {
    known.delete(entry.name)
    known.set(entry.name, entry)
    const [oldest] = known.keys()
    if (known.size > MAX_REMEMBERED && oldest) known.delete(oldest)
  }

  return {
    list: () => list,
    takeList: read => {
      list = read
      for (const entry of read.instances.values()) remember(entry)
      absences = trackAbsences(absences, state(), { ...read, instances: [...read.instances.values()] })
    },
    peerAddressOf: instance => known.get(instance)?.peerAddress,
    backendAddressOf: instance => known.get(instance)?.backendAddress || undefined,
    routers: () => [...list.instances.values()].filter(entry => entry.role === 'router' && !entry.leaving).map(entry => entry.name),
    absences: () => absences,
    absentForMs: instance => {
      const sinceMs = absences.sinceMs.get(instance)
      return sinceMs === undefined ? 0 : absences.lastReadMs - sinceMs
    }
  }
}
