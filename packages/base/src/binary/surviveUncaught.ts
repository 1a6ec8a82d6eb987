import { BaseEvent } from '../events/catalogue.js'

import type { EventLog } from '../events/types.js'
import type { Metrics } from '../metrics/types.js'

/** Longest part of a stack trace in a line of the log. */
const MAX_STACK_CHARS = 600

interface Options {
  readonly events: EventLog
  readonly metrics: Metrics
  /** True once the process serves. */
  readonly hasStarted: () => boolean
  /** Ends a process whose start has failed. */
  readonly endStart: (error: unknown) => void
}

const describe = (error: unknown): { readonly reason: string, readonly detail: string } =>
  error instanceof Error
    ? { reason: error.message, detail: (error.stack ?? '').slice(0, MAX_STACK_CHARS) }
    : { reason: String(error), detail: '' }

/**
 * Takes exceptions and rejections that nothing caught: the last resort of a process. During the start they end the process. Later they
 * are logged and counted, and the process goes on: what the exception belonged to ends by its own time limit, and all other requests
 * are served (docs/design/boundaries.md).
 */
export const surviveUncaught = ({ events, metrics, hasStarted, endStart }: Options): void => {
  // Node also raises a rejection that nothing handles as an exception, with its own origin.
  process.on('uncaughtException', (error: unknown, origin) => {
    metrics.count('uncaught_exceptions_total')
    try {
      events.emit(BaseEvent.processFailing, { step: origin, ...describe(error) })
    } catch {
      // An exception in this listener would end the process.
      metrics.count('event_lines_lost_total')
    }
    if (!hasStarted()) endStart(error)
  })
}
