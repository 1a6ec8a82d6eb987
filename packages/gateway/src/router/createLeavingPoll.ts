import { LEAVING_PERIOD_MS } from './constants.js'

import type { TimerService } from '@figmount/base'
import type { Directory } from '../directory/types.js'

/** Returns a function that reports on models to be unloaded from then on, for as long as there are any. */
export const createLeavingPoll = (timers: TimerService, directory: Pick<Directory, 'hasLeaving'>, report: () => void): (() => void) => {
  let isDue = false

  const poll = (): void => {
    if (isDue || !directory.hasLeaving()) return
    isDue = true
    timers.after(LEAVING_PERIOD_MS, () => {
      isDue = false
      report()
      poll()
    })
  }

  return poll
}
