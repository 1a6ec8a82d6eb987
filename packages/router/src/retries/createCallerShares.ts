import type { CallerName } from '@figmount/base'

/** Number of concurrent requests that each caller has in the router. */
export interface CallerShares {
  /** False if the router is at least half full and the caller has used up its share. */
  readonly enter: (caller: CallerName, share: number) => boolean
  readonly leave: (caller: CallerName) => void
}

/** Fill level below which every caller is admitted, even one that is above its share. */
const SHARE_LIMIT_FILL = 0.5

interface CallerUsage {
  readonly count: number
  readonly share: number
}

/**
 * Divides a router's request capacity between callers once it is half full, in proportion to the
 * shares configured by operators. Otherwise one caller that retries without end could take the whole
 * capacity, and all others would be refused although the backend servers could serve them.
 */
export const createCallerShares = (maxCount: number): CallerShares => {
  const usages = new Map<CallerName, CallerUsage>()
  let totalCount = 0
  let totalShare = 0

  const mayEnter = (count: number, share: number, isNew: boolean): boolean => {
    if (totalCount < maxCount * SHARE_LIMIT_FILL) return true
    return count < maxCount * share / (totalShare + (isNew ? share : 0))
  }

  return {
    enter: (caller, share) => {
      const usage = usages.get(caller)
      if (!mayEnter(usage?.count ?? 0, share, !usage)) return false
      if (!usage) totalShare += share
      totalCount += 1
      usages.set(caller, { count: (usage?.count ?? 0) + 1, share: usage?.share ?? share })
      return true
    },
    leave: caller => {
      const usage = usages.get(caller)
      if (!usage) return
      totalCount -= 1
      if (usage.count > 1) {
        usages.set(caller, { ...usage, count: usage.count - 1 })
        return
      }
      usages.delete(caller)
      totalShare -= usage.share
    }
  }
}
