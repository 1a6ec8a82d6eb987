import type { TimerService } from './types.js'

type Callback = () => void

/** A Node interval shared by all subscribers with the same period. */
interface SharedInterval {
  readonly timer: NodeJS.Timeout
  readonly subscribers: Set<Callback>
}

/** Longest delay of Node's timers: with a longer one they fire at once. */
const MAX_DELAY_MS = 2 ** 31 - 1

/** Calls a subscriber; what it throws goes to the process's last resort, and the others of its tick are called all the same. */
const callSafely = (fire: Callback): void => {
  try {
    fire()
  } catch (error) {
    process.nextTick(() => { throw error })
  }
}

const callAll = (subscribers: ReadonlySet<Callback>): void => {
  for (const fire of [...subscribers]) {
    // An earlier callback of this tick may have unsubscribed this one.
    if (subscribers.has(fire)) callSafely(fire)
  }
}

/** Creates a timer service in real time. Its timers do not keep the process alive. */
export const createTimerService = (): TimerService => {
  const intervals = new Map<number, SharedInterval>()

  const startInterval = (periodMs: number): SharedInterval => {
    const subscribers = new Set<Callback>()
    const timer = setInterval(() => { callAll(subscribers) }, periodMs).unref()
    const interval = { timer, subscribers }
    intervals.set(periodMs, interval)
    return interval
  }

  return {
    nowMs: () => performance.now(),
    unixMs: () => Date.now(),
    after: (delayMs, fire) => {
      const timer = setTimeout(fire, Math.min(delayMs, MAX_DELAY_MS)).unref()
      return () => clearTimeout(timer)
    },
    // Subscribers with the same period share ticks: separate timers for hundreds of links would wake the process hundreds of times a second.
    every: (periodMs, fire) => {
      const interval = intervals.get(periodMs) ?? startInterval(periodMs)
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
