import type { CallerName } from '@figmount/base'

/** How many of a router's places each caller holds. */
export interface CallerShares {
  /** False when the router is filling up and the caller holds its share already. */
  readonly enter: (caller: CallerName, share: number) => boolean
  readonly leave: (caller: CallerName) => void
}

/** Below this fill everybody gets in: nobody is kept out by a caller that asks for much. */
const CROWDED_FILL = 0.5

interface Holding {
  readonly count: number
  readonly share: number
}

/**
 * Divides a router's places between callers once it is half full, by the shares that operators
 * gave them. Without it one hot caller that never gives up holds all places, and every other
 * caller is refused although the backend servers have room for it.
 */
export const createCallerShares = (maxCount: number): CallerShares => {
  const holdings = new Map<CallerName, Holding>()
  let totalCount = 0
  let totalShare = 0

  const mayEnter = (count: number, share: number, isNew: boolean): boolean => {
    if (totalCount < maxCount * CROWDED_FILL) return true
    return count < maxCount * share / (totalShare + (isNew ? share : 0))
  }

  return {
    enter: (caller, share) => {
      const held = holdings.get(caller)
      if (!mayEnter(held?.count ?? 0, share, !held)) return false
      if (!held) totalShare += share
      totalCount += 1
      holdings.set(caller, { count: (held?.count ?? 0) + 1, share: held?.share ?? share })
      return true
    },
    leave: caller => {
      const held = holdings.get(caller)
      if (!held) return
      totalCount -= 1
      if (held.count > 1) {
        holdings.set(caller, { ...held, count: held.count - 1 })
        return
      }
      holdings.delete(caller)
      totalShare -= held.share
    }
  }
}
