import { createEventSink } from '../streams/createEventSink.js'
import { noteAnswered } from './endRequest.js'

import type { RawHeaders } from '@figmount/fleet'
import type { AnswerEnd } from '../forwarding/framing.js'
import type { StreamEvent } from '../streams/createEventSplitter.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** A caller's side of a stream, over all runs of its request. */
export interface CallerStream {
  /** Stores the head of the first run; it is sent to the caller with the first event. */
  readonly open: (status: number, headers: RawHeaders) => void
  /** Forwards an event unless the caller has it already; returns false when the caller reads too slowly. */
  readonly take: (event: StreamEvent) => boolean
  readonly onceDrained: (resume: () => void) => void
  /** Ends the caller's answer; `end`: how the end of the last run was marked and recognised. */
  readonly finish: (peer: string, end: AnswerEnd) => void
  readonly hasBegun: () => boolean
  /** Id of the event after which another run continues; empty before the first event. */
  readonly lastEventId: () => string
  /** Ids of the first event that each run has added. */
  readonly runStarts: () => readonly string[]
  /** Arrival time of the newest event; before the first one, that of the request. */
  readonly lastEventMs: () => number
  /** The server skipped an event: the stream cannot be completed. */
  readonly hasGap: () => boolean
  /** The caller takes no chunks, and the stream is too long to be held until its end. */
  readonly isTooLong: () => boolean
}

const isSuccessor = (last: string, next: string): boolean => {
  const [lastNumber, nextNumber] = [Number(last), Number(next)]
  if (!Number.isInteger(lastNumber) || !Number.isInteger(nextNumber)) return true
  return nextNumber > lastNumber
}

/** Creates the caller's side of one stream. */
export const createCallerStream = (context: GatewayContext, request: RoutedRequest): CallerStream => {
  const { response } = request
  const sink = createEventSink(response)
  let head: { readonly status: number, readonly headers: RawHeaders } | undefined
  let lastEventId = request.caller.lastEventId
  let lastNumber: number | undefined
  let isGapSeen = false
  let firstEventMs: number | undefined
  let lastEventMs = request.arrivedMs
  const runStarts: string[] = []
  let isRunNew = false

  const begin = (): void => {
    if (!head || firstEventMs !== undefined || response.destroyed) return
    sink.begin(head.status, head.headers)
    firstEventMs = context.timers.nowMs() - request.arrivedMs
    context.metrics.observeMs('first_event_ms', firstEventMs)
  }

  // Guards against events that are duplicated or missing where one run continues another. Ids increase by one, so the caller gets
  // each event once and a gap is detected.
  const acceptEvent = (event: StreamEvent): boolean => {
    if (event.eventId === '') return true
    if (lastEventId !== '' && !isSuccessor(lastEventId, event.eventId)) return false
    const number = Number(event.eventId)
    if (Number.isInteger(number)) {
      if (lastNumber !== undefined && number !== lastNumber + 1) isGapSeen = true
      lastNumber = number
    }
    lastEventId = event.eventId
    if (isRunNew) runStarts.push(event.eventId)
    isRunNew = false
    return true
  }

  return {
    open: (status, headers) => {
      head ??= { status, headers }
      isRunNew = true
    },
    take: event => {
      if (!acceptEvent(event)) return true
      if (isGapSeen || response.destroyed) return true
      lastEventMs = context.timers.nowMs()
      begin()
      return sink.write(event.bytes)
    },
    onceDrained: resume => { response.once('drain', resume) },
    finish: (peer, end) => {
      begin()
      noteAnswered(context, request, { peer, status: head?.status ?? 0, end, callerFraming: sink.framing, events: { firstEventMs, lastEventId, runStarts } })
      sink.end()
    },
    hasBegun: () => response.headersSent,
    lastEventId: () => lastEventId,
    runStarts: () => runStarts,
    lastEventMs: () => lastEventMs,
    hasGap: () => isGapSeen,
    isTooLong: sink.isTooLong
  }
}
