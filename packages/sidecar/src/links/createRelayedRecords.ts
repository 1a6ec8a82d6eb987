import type { Relay } from '@figmount/fleet'

/** Most keys that are remembered, so that memory stays bounded on a feed that keeps adding keys. */
const MAX_KEYS = 2_000

/** Store records that an agent has relayed to routers. */
export interface RelayedRecords {
  /** The records of a relay that are newer than those relayed before; undefined when there are none. */
  readonly takeNew: (relay: Relay) => Relay | undefined
}

/**
 * Remembers the offset of the newest relayed record of each key.
 *
 * Guards against a fan-out that grows with the number of routers: all routers relay the records that they have read to the same
 * agents, and all copies were sent to all other routers. On a narrow link, callers' requests waited behind those copies.
 */
export const createRelayedRecords = (): RelayedRecords => {
  const offsets = new Map<string, number>()

  const remember = (key: string, offset: number): void => {
    offsets.delete(key)
    offsets.set(key, offset)
    const [oldest] = offsets.keys()
    if (offsets.size > MAX_KEYS && oldest !== undefined) offsets.delete(oldest)
  }

  return {
    takeNew: relay => {
      const records = relay.records.filter(({ key, offset }) => offset > (offsets.get(`${relay.feedName}/${key}`) ?? -1))
      for (const { key, offset } of records) remember(`${relay.feedName}/${key}`, offset)
      return records.length > 0 ? { ...relay, records } : undefined
    }
  }
}
