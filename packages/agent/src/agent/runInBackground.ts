import { BaseEvent } from '@figmount/base'

import type { EventLog } from '@figmount/base'

/** Lets a task run on; a failure that it did not turn into a value is told and does not end the process. */
export const runInBackground = (events: EventLog, step: string, task: PromiseLike<unknown>): void => {
  task.then(undefined, (error: Error) => events.emit(BaseEvent.unexpectedFault, { step, reason: error.message }))
}
