import type { TimerService } from './types.js'

type Fire = () => void

/** One Node interval and those that are called at its ticks. */
interface SharedInterval {
  readonly timer: NodeJS.Timeout
  readonly subscribers: Set<Fire>
}

const callAll = (subscribers: ReadonlySet<Fire>): void => {
  for (const fire of [...subscribers]) {
    // One before it may have ended the subscription.
    if (subscribers.has(fire)) fire()
  }
}

/** Real time. Its timers do not keep the process alive. */
export const createTimerService = (): TimerService => {
  const intervals = new Map<number, SharedInterval>()

  const open = (periodMs: number): SharedInterval => {
    const subscribers = new Set<Fire>()
    const timer = setInterval(() => { callAll(subscribers) }, periodMs).unref()
    const made = { timer, subscribers }
    intervals.set(periodMs, made)
    return made
  }

  return {
    nowMs: () => performance.now(),
    unixMs: () => Date.now(),
    after: (delayMs, fire) => {
      const timer = setTimeout(fire, delayMs).unref()
      return () => clearTimeout(timer)
    },
    // All with one period share its ticks: hundreds of links would wake the process hundreds of times a second.
    every: (periodMs, fire) => {
      const interval = intervals.get(periodMs) ?? open(periodMs)
      const subscriber = (): void => { fire() }
      interval.subscribers.add(subscriber)
      return () => {
        interval.subscribers.delete(subscriber)
        if (interval.subscribers.size > 0 || intervals.get(periodMs) !== interval) return
        clearInterval(interval.timer)
        intervals.delete(periodMs)
      }
    }
  }
}
