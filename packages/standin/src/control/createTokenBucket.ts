import type { TimerService } from '@figmount/base'

/** A rate limit. */
export interface TokenBucket {
  /** Takes one token: 0 when there was one, else the time in ms until there is. */
  readonly take: () => number
}

/** Makes a bucket that starts full. */
export const createTokenBucket = (timers: TimerService, ratePerSecond: number, burstCount: number): TokenBucket => {
  let available = burstCount
  let filledAtMs = timers.nowMs()
  return {
    take: () => {
      const nowMs = timers.nowMs()
      available = Math.min(burstCount, available + (nowMs - filledAtMs) * ratePerSecond / 1000)
      filledAtMs = nowMs
      if (available >= 1) {
        available -= 1
        return 0
      }
      return Math.ceil((1 - available) * 1000 / ratePerSecond)
    }
  }
}
