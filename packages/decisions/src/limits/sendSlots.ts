/** A limit that a server has named, and the routers that share it. */
export interface ServerPace {
  /** Requests per second that the server takes from all routers together. */
  readonly limitPerS: number
  readonly routerCount: number
}

const MS_PER_S = 1_000

/** A server that takes nothing is asked now and then: nobody would learn otherwise that it takes requests again. */
const MIN_LIMIT_PER_S = 0.1

/** Time whose requests may be sent at once. */
const BURST_MS = 1_000

/** Slots that all routers together may have left unused and use later. */
const STORED_COUNT = 5

/** Time between two slots of one router. */
export const slotGapMs = ({ limitPerS, routerCount }: ServerPace): number =>
  MS_PER_S * Math.max(1, routerCount) / Math.max(MIN_LIMIT_PER_S, limitPerS)

const burstMs = (pace: ServerPace): number => Math.max(0, BURST_MS - slotGapMs(pace))

/** Time for which a slot may be used. */
const validMs = ({ limitPerS }: ServerPace): number => MS_PER_S * STORED_COUNT / Math.max(MIN_LIMIT_PER_S, limitPerS)

/** The time of a slot, or of the first one after it that may still be used. */
const usableSlotMs = (nextMs: number, pace: ServerPace, nowMs: number): number => {
  const lateMs = nowMs - nextMs - validMs(pace)
  if (lateMs <= 0) return nextMs
  const gapMs = slotGapMs(pace)
  return nextMs + Math.ceil(lateMs / gapMs) * gapMs
}

/** Time of the first slot after a limit became known. `draw` is from 0 to 1: the routers' slots are spread over the gap. */
export const firstSlotMs = (pace: ServerPace, nowMs: number, draw: number): number => nowMs + burstMs(pace) + draw * slotGapMs(pace)

/** Time until a request may be sent; 0 at once. */
export const slotWaitMs = (nextMs: number, pace: ServerPace, nowMs: number): number =>
  Math.max(0, usableSlotMs(nextMs, pace, nowMs) - burstMs(pace) - nowMs)

/** Time of the next slot after a request was sent. */
export const takeSlot = (nextMs: number, pace: ServerPace, nowMs: number): number =>
  Math.max(usableSlotMs(nextMs, pace, nowMs), nowMs) + slotGapMs(pace)

/** Time of the next slot once the limit or the number of routers has changed. */
export const moveSlot = (nextMs: number, pace: ServerPace, nowMs: number): number =>
  Math.min(nextMs, nowMs + burstMs(pace) + slotGapMs(pace))
