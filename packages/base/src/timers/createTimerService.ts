import type { TimerService } from './types.js'

/** Real time. Its timers do not keep the process alive. */
export const createTimerService = (): TimerService => ({
  nowMs: () => performance.now(),
  unixMs: () => Date.now(),
  after: (delayMs, fire) => {
    const timer = setTimeout(fire, delayMs).unref()
    return () => clearTimeout(timer)
  },
  every: (periodMs, fire) => {
    const timer = setInterval(fire, periodMs).unref()
    return () => clearInterval(timer)
  }
})
