import type { TimerService } from '@figmount/base'

/** A rate limit as a token bucket. */
export interface TokenBucket {
  /** Takes one token and returns 0; if none is available, returns the time in ms until the next one. */
  readonly take: () => number
}

/** Creates a bucket that starts full. */
export const createTokenBucket = (timers: TimerService, ratePerSecond: number, burstCount: number): TokenBucket => {
  let available = burstCount
  let refilledAtMs = timers.nowMs()
  return {
    take: () => {
      const nowMs = timers.nowMs()
      available = Math.min(burstCount, available + (nowMs - refilledAtMs) * ratePerSecond / 1000)
      refilledAtMs = nowMs
      if (available >= 1) {
        available -= 1
        return 0
      }
      return Math.ceil((1 - available) * 1000 / ratePerSecond)
    }
  }
}
