import { BaseEvent } from '../events/catalogue.js'

import type { EventLog } from '../events/types.js'

/** Longest part of a stack trace in a line of the log. */
const MAX_STACK_CHARS = 600

/** Logs an exception that nothing has caught before Node deals with it. */
export const logUncaught = (events: EventLog): void => {
  process.on('uncaughtExceptionMonitor', (error, origin) => {
    events.emit(BaseEvent.processFailing, { step: origin, reason: error.message, detail: (error.stack ?? '').slice(0, MAX_STACK_CHARS) })
  })
}
