import { endAfterDrain, delimitByClose, noteAnswered } from './endRequest.js'

import type { RawHeaders } from '@figmount/fleet'
import type { StreamEvent } from '../streams/createEventSplitter.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** What a caller has of its stream, over all runs. */
export interface CallerStream {
  /** Keeps the head of the first run; the caller gets it with the first event. */
  readonly open: (status: number, headers: RawHeaders, isFramed: boolean) => void
  /** Passes an event on unless the caller has it; true while the caller keeps up. */
  readonly take: (event: StreamEvent) => boolean
  readonly onceDrained: (resume: () => void) => void
  readonly finish: (peer: string) => void
  readonly hasBegun: () => boolean
  /** Event after which another run goes on; empty before the first one. */
  readonly lastEventId: () => string
  /** When the newest event came; the request's arrival before the first one. */
  readonly lastEventMs: () => number
  /** An event was left out by the server: the stream can't be made whole. */
  readonly hasGap: () => boolean
}

const isSuccessor = (last: string, next: string): boolean => {
  const [lastNumber, nextNumber] = [Number(last), Number(next)]
  if (!Number.isInteger(lastNumber) || !Number.isInteger(nextNumber)) return true
  return nextNumber > lastNumber
}

/** Makes the caller's side of one stream. */
export const createCallerStream = (context: GatewayContext, request: RoutedRequest): CallerStream => {
  const { response } = request
  let head: { readonly status: number, readonly headers: RawHeaders, readonly isFramed: boolean } | undefined
  let lastEventId = request.caller.lastEventId
  let lastNumber: number | undefined
  let isGapSeen = false
  let firstEventMs: number | undefined
  let lastEventMs = request.arrivedMs

  const sendHead = (): void => {
    if (!head || response.headersSent || response.destroyed) return
    if (!head.isFramed) delimitByClose(request)
    response.writeHead(head.status, [...head.headers])
    response.flushHeaders()
    firstEventMs = context.timers.nowMs() - request.arrivedMs
    context.metrics.observeMs('first_event_ms', firstEventMs)
  }

  // Guards against a piece that comes twice or is missing where two runs are joined: ids grow by one, so the caller
  // gets each once and a jump shows.
  const acceptEvent = (event: StreamEvent): boolean => {
    if (event.eventId === '') return true
    if (lastEventId !== '' && !isSuccessor(lastEventId, event.eventId)) return false
    const number = Number(event.eventId)
    if (Number.isInteger(number)) {
      if (lastNumber !== undefined && number !== lastNumber + 1) isGapSeen = true
      lastNumber = number
    }
    lastEventId = event.eventId
    return true
  }

  return {
    open: (status, headers, isFramed) => { head ??= { status, headers, isFramed } },
    take: event => {
      if (!acceptEvent(event)) return true
      if (isGapSeen || response.destroyed) return true
      lastEventMs = context.timers.nowMs()
      sendHead()
      return response.write(event.bytes)
    },
    onceDrained: resume => { response.once('drain', resume) },
    finish: peer => {
      sendHead()
      noteAnswered(context, request, peer, head?.status ?? 0, firstEventMs)
      endAfterDrain(response)
    },
    hasBegun: () => response.headersSent,
    lastEventId: () => lastEventId,
    lastEventMs: () => lastEventMs,
    hasGap: () => isGapSeen
  }
}
