import type { Relay } from '@figmount/fleet'

/** Keys that are remembered, so that a feed with ever new keys takes no more memory. */
const MAX_KEYS = 2_000

/** What an agent has passed on to routers. */
export interface PassedRecords {
  /** The part of a relay that is newer than what was passed on; undefined when there is none. */
  readonly takeNew: (relay: Relay) => Relay | undefined
}

/**
 * Remembers the newest record of each key that was passed on.
 *
 * Guards against copies by the number of routers: each router passes on what it has read through the same agents, and all
 * copies went to all others. Callers of a router on a narrow link waited behind them.
 */
export const createPassedRecords = (): PassedRecords => {
  const offsets = new Map<string, number>()

  const note = (key: string, offset: number): void => {
    offsets.delete(key)
    offsets.set(key, offset)
    const [oldest] = offsets.keys()
    if (offsets.size > MAX_KEYS && oldest !== undefined) offsets.delete(oldest)
  }

  return {
    takeNew: relay => {
      const records = relay.records.filter(({ key, offset }) => offset > (offsets.get(`${relay.feedName}/${key}`) ?? -1))
      for (const { key, offset } of records) note(`${relay.feedName}/${key}`, offset)
      return records.length > 0 ? { ...relay, records } : undefined
    }
  }
}
