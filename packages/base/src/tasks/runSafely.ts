import { reportThrown } from './reportThrown.js'

import type { EventLog } from '../events/types.js'

/** Runs a step; an exception is reported as an event instead of reaching the caller. Returns false if there was one. */
export const runSafely = (events: EventLog, step: string, peer: string, run: () => void): boolean => {
  try {
    run()
    return true
  } catch (error) {
    reportThrown(events, step, peer, error)
    return false
  }
}
