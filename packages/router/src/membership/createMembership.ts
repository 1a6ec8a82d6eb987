import type { DataCentre, InstanceName } from '@figmount/base'
import type { InstanceList, ListedInstance } from './types.js'

/** The platform's instance list and what it said before. */
export interface Membership {
  readonly list: () => InstanceList
  readonly takeList: (list: InstanceList) => void
  /** Where an instance listens for peers; undefined if no list has ever named it. */
  readonly peerAddressOf: (instance: InstanceName) => string | undefined
  /** The last address of the backend server beside an agent, also after the list has dropped it. */
  readonly backendAddressOf: (instance: InstanceName) => string | undefined
  readonly dataCentreOf: (instance: InstanceName) => DataCentre | undefined
  readonly routers: () => readonly InstanceName[]
  readonly liveAgents: () => ReadonlySet<InstanceName>
  /** Monotonic time since which every list that was read lacked the instance; undefined if listed. */
  readonly missingSinceMs: (instance: InstanceName) => number | undefined
}

/** Instances remembered after the list has dropped them. */
const MAX_REMEMBERED = 20_000

/** Keeps membership. The list lags, so an address it named once stays in use until it names another. */
export const createMembership = (): Membership => {
  const known = new Map<InstanceName, ListedInstance>()
  const missingSince = new Map<InstanceName, number>()
  let firstReadAtMs: number | undefined
  let list: InstanceList = { instances: new Map(), readAtMs: -Infinity }

  const noteMissing = (read: InstanceList): void => {
    for (const name of known.keys()) {
      if (read.instances.has(name)) missingSince.delete(name)
      else if (!missingSince.has(name)) missingSince.set(name, read.readAtMs)
    }
  }

  const forgetOldest = (): void => {
    for (const [name] of known) {
      if (known.size <= MAX_REMEMBERED) return
      if (list.instances.has(name)) continue
      known.delete(name)
      missingSince.delete(name)
    }
  }

  return {
    list: () => list,
    takeList: read => {
      firstReadAtMs ??= read.readAtMs
      list = read
      for (const [name, entry] of read.instances) known.set(name, entry)
      noteMissing(read)
      forgetOldest()
    },
    peerAddressOf: instance => known.get(instance)?.peerAddress,
    backendAddressOf: instance => known.get(instance)?.backendAddress,
    dataCentreOf: instance => known.get(instance)?.dataCentre,
    routers: () => [...list.instances.values()].filter(entry => entry.role === 'router' && !entry.leaving).map(entry => entry.name),
    liveAgents: () => new Set([...list.instances.values()].filter(entry => entry.role === 'agent' && !entry.leaving).map(entry => entry.name)),
    missingSinceMs: instance => list.instances.has(instance) ? undefined : missingSince.get(instance) ?? firstReadAtMs
  }
}
