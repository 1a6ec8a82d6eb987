import { BaseEvent } from '../events/catalogue.js'

import type { EventLog } from '../events/types.js'

/** Starts a task that nobody awaits; a failure that it did not turn into a value becomes an event and does not end the process. */
export const runInBackground = (events: EventLog, step: string, task: PromiseLike<unknown>): void => {
  task.then(undefined, (error: Error) => events.emit(BaseEvent.unexpectedFault, { step, reason: error.message }))
}
