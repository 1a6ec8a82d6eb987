import { BaseEvent } from '@figmount/base'

import type { EventLog } from '@figmount/base'

/** Starts a task that nobody awaits; what it throws becomes an event and does not end the process. */
export const runInBackground = (events: EventLog, step: string, task: Promise<unknown>): void => {
  task.catch((error: Error) => events.emit(BaseEvent.unexpectedFault, { step, reason: error.message }))
}
