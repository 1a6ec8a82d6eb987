import { BaseEvent } from '../events/catalogue.js'

import type { EventLog } from '../events/types.js'

/** Runs a task without awaiting it; a rejection is reported as an event instead of ending the process. */
export const runInBackground = (events: EventLog, step: string, task: PromiseLike<unknown>): void => {
  task.then(undefined, (error: Error) => events.emit(BaseEvent.unexpectedFault, { step, reason: error.message }))
}
