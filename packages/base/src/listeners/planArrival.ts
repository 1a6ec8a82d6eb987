/** What to do with a new connection: take it, take it in the place of another one, or close it. */
export type ArrivalPlan = 'take' | 'replaceReceiving' | 'replaceIdle' | 'replaceUnread' | 'refuse'

/** The connections of a process when a new one arrives at a listener. */
export interface ArrivalView {
  readonly openCount: number
  /** Connections that the new one's listener may bring the process to. */
  readonly allowedCount: number
  readonly hasReceiving: boolean
  readonly hasIdle: boolean
  /** One whose answers have waited for its peer for long. */
  readonly hasUnread: boolean
}

/** Plans for a new connection. One that has sent nothing whole yields first, as nothing of it can have run; one that is served never does. */
export const planArrival = ({ openCount, allowedCount, hasReceiving, hasIdle, hasUnread }: ArrivalView): ArrivalPlan => {
  if (openCount < allowedCount) return 'take'
  if (hasReceiving) return 'replaceReceiving'
  if (hasIdle) return 'replaceIdle'
  return hasUnread ? 'replaceUnread' : 'refuse'
}

/** Connections that a listener may bring the process to, so that each other listener can have its share. */
export const allowedFor = (limitCount: number, otherCounts: readonly number[], shareCount: number): number => {
  let reservedCount = 0
  for (const count of otherCounts) reservedCount += Math.max(0, shareCount - count)
  return Math.max(1, limitCount - reservedCount)
}
