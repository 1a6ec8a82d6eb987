import { reportThrown } from './reportThrown.js'

import type { EventLog } from '../events/types.js'

/** Runs a task; a rejection is reported as an event instead of ending the loop that awaits it. Resolves to false if there was one. */
export const runTaskSafely = async (events: EventLog, step: string, peer: string, task: () => Promise<void>): Promise<boolean> => {
  try {
    await task()
    return true
  } catch (error) {
    reportThrown(events, step, peer, error)
    return false
  }
}
