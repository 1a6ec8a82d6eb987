import { beginRun, endRun, eventNumberOf, mayEnd, mayGoOn, openAccount, takeEvent } from '@figmount/decisions'

import { holdForCaller } from '../memory/holdForCaller.js'
import { createEventSink } from '../streams/createEventSink.js'
import { Taken } from '../streams/relayEvents.js'
import { noteAnswered } from './endRequest.js'

import type { RawHeaders } from '@figmount/fleet'
import type { AnswerEnd } from '../forwarding/framing.js'
import type { StreamEvent } from '../streams/createEventSplitter.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** A caller's side of a stream, over all runs of its request. */
export interface CallerStream {
  /** Stores the head of the first run; it is sent to the caller with the first event. */
  readonly open: (status: number, headers: RawHeaders) => void
  /** Forwards an event unless the caller has it already; one that can't be placed yet is held. */
  readonly take: (event: StreamEvent) => Taken
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
  /** The end of this run may be the end of the stream; false if it has not come to the last event. */
  readonly mayEnd: () => boolean
  /** Another run may continue the stream; false after a piece without a number. */
  readonly mayGoOn: () => boolean
  /** The caller takes no chunks, and the stream is too long to be held until its end. */
  readonly isTooLong: () => boolean
}

/** Creates the caller's side of one stream. */
export const createCallerStream = (context: GatewayContext, request: RoutedRequest): CallerStream => {
  const { response } = request
  const sink = createEventSink(response, (bytes, granted) => holdForCaller(context, request, bytes, granted))
  let head: { readonly status: number, readonly headers: RawHeaders } | undefined
  let account = openAccount<StreamEvent>(request.caller.lastEventId)
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

  const noteRunStart = ({ eventId }: StreamEvent): void => {
    if (!isRunNew || eventNumberOf(eventId) === undefined) return
    runStarts.push(eventId)
    isRunNew = false
  }

  const passOn = (events: readonly StreamEvent[]): Taken => {
    if (events.length === 0 || response.destroyed) return Taken.InTime
    lastEventMs = context.timers.nowMs()
    begin()
    let keepsUp = true
    for (const event of events) {
      noteRunStart(event)
      keepsUp = sink.write(event.bytes)
    }
    if (sink.isTooLong()) return Taken.Gap
    return keepsUp ? Taken.InTime : Taken.Slowly
  }

  return {
    open: (status, headers) => {
      head ??= { status, headers }
      account = beginRun(account)
      isRunNew = true
    },
    take: event => {
      const taken = takeEvent(account, event)
      account = taken.account
      if (account.hasGap) return Taken.Gap
      return passOn(taken.passedOn)
    },
    onceDrained: sink.onceDrained,
    finish: (peer, end) => {
      passOn(endRun(account).passedOn)
      begin()
      noteAnswered(context, request, { peer, status: head?.status ?? 0, end, callerFraming: sink.framing, events: { firstEventMs, lastEventId: account.lastEventId, runStarts } })
      sink.end()
    },
    hasBegun: () => response.headersSent,
    lastEventId: () => account.lastEventId,
    runStarts: () => runStarts,
    lastEventMs: () => lastEventMs,
    mayEnd: () => mayEnd(account),
    mayGoOn: () => mayGoOn(account),
    isTooLong: sink.isTooLong
  }
}
