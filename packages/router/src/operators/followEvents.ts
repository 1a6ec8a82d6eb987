import { create } from '@bufbuild/protobuf'
import { EventLineSchema } from '@figmount/schema'

import { createMailbox } from '../answers/createMailbox.js'

import type { EventLog, EventRecord, TimerService } from '@figmount/base'
import type { EventLine, EventsRequest, ExplainRequest } from '@figmount/schema'

/** Maximum number of events queued for a slow reader. Further events are dropped, visible as a gap in `sequence`. */
const MAX_WAITING_EVENTS = 1_000
const STOP_CHECK_PERIOD_MS = 1_000

const lineOf = (event: EventRecord): EventLine => create(EventLineSchema, { json: JSON.stringify(event) })

const attemptsOf = (events: readonly EventRecord[]): ReadonlySet<string> =>
  new Set(events.flatMap(event => event.attemptId ? [event.attemptId] : []))

/** Returns the recent events of one request, including those of its attempts. */
export const explainRequest = (events: EventLog, request: ExplainRequest): readonly EventLine[] => {
  const recent = events.recent()
  const own = recent.filter(event =>
    event.requestKey === request.requestKey && (request.caller === '' || event.caller === undefined || event.caller === request.caller))
  const attempts = attemptsOf(own)
  const ownSequences = new Set(own.map(event => event.sequence))
  return recent
    .filter(event => ownSequences.has(event.sequence) || (event.attemptId !== undefined && attempts.has(event.attemptId)))
    .map(lineOf)
}

interface FollowOptions {
  readonly events: EventLog
  readonly timers: TimerService
  readonly request: EventsRequest
  /** Aborts when the operator disconnects. */
  readonly signal: AbortSignal
  /** Aborts when the router stops. */
  readonly stopping: AbortSignal
}

/** Streams events as they occur until the operator disconnects or the router stops. */
export const followEvents = async function * ({ events, timers, request, signal, stopping }: FollowOptions): AsyncGenerator<EventLine> {
  const mailbox = createMailbox<EventRecord>(timers, MAX_WAITING_EVENTS)
  const isWanted = (event: EventRecord): boolean =>
    (request.requestKey === '' || event.requestKey === request.requestKey) && (request.model === '' || event.model === request.model)
  const unsubscribe = events.subscribe(event => { if (isWanted(event)) mailbox.push(event) })
  signal.addEventListener('abort', unsubscribe, { once: true })
  try {
    while (!signal.aborted && !stopping.aborted) {
      const event = await mailbox.take(STOP_CHECK_PERIOD_MS, signal)
      if (event) yield lineOf(event)
    }
  } finally {
    unsubscribe()
  }
}
