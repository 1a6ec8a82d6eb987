import type { TimerService } from '@figmount/base'

/** Returns a function that has `run` called soon, once for all calls until then. */
export const joinCalls = (timers: TimerService, run: () => void): (() => void) => {
  let isDue = false
  return () => {
    if (isDue) return
    isDue = true
    timers.after(0, () => {
      isDue = false
      run()
    })
  }
}
