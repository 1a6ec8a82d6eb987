import { BytesEnd, bytesEndOf } from '../forwarding/framing.js'
import { MAX_ASIDE_BYTES, MAX_ASIDE_COUNT, MAX_EVENT_BYTES } from './constants.js'
import { createEventSplitter } from './createEventSplitter.js'

import type { TimerService } from '@figmount/base'
import type { OpenAnswer } from '../forwarding/types.js'
import type { StreamEvent } from './createEventSplitter.js'

/** How a stream from one server ended. */
export interface RelayEnd {
  readonly end: BytesEnd
  readonly reason: string
}

/** What became of an event. */
export const Taken = {
  /** The reader keeps up. */
  InTime: 'in_time',
  /** The reader is too slow. */
  Slowly: 'slowly',
  /** An event before it is missing, or there is no room for it: nothing more of this run is taken. */
  Gap: 'gap'
} as const

export type Taken = typeof Taken[keyof typeof Taken]

interface Options {
  readonly answer: OpenAnswer
  readonly timers: TimerService
  readonly take: (event: StreamEvent) => Taken
  /** Calls back once the reader can take more. */
  readonly onceDrained: (resume: () => void) => void
  /** Time without a piece from the server after which the stream counts as broken. */
  readonly silenceMs: number
}

/** Relays a server's events one by one until the stream ends or breaks off. */
export const relayEvents = async ({ answer, timers, take, onceDrained, silenceMs }: Options): Promise<RelayEnd> =>
  await new Promise(resolve => {
    const { message, guard, abort } = answer
    const splitter = createEventSplitter()
    let lastPieceMs = timers.nowMs()
    let asideBytes = 0
    let asideCount = 0
    let isPaused = false
    let isOver = false

    const finish = (end: BytesEnd, reason: string): void => {
      isOver = true
      stopWatching()
      splitter.clear()
      resolve({ end, reason })
    }
    const breakOff = (reason: string): void => { finish(BytesEnd.BrokenOff, reason) }
    const cut = (reason: string): void => {
      breakOff(reason)
      abort()
    }
    const noteKind = ({ eventId, hasData, bytes }: StreamEvent): void => {
      const isPiece = hasData || eventId !== ''
      if (isPiece) lastPieceMs = timers.nowMs()
      asideBytes = isPiece ? 0 : asideBytes + bytes.length
      asideCount = isPiece ? 0 : asideCount + 1
    }

    // Guards against a server that stops sending in the middle of a stream while its connection stays open: the caller would wait until
    // it gives up. Aborting the exchange lets a resumable stream continue on another server. While the reader is stalled, nothing is read
    // from the server, so that silence does not count.
    const stopWatching = timers.every(silenceMs / 4, () => {
      if (isPaused || timers.nowMs() - lastPieceMs < silenceMs) return
      cut(`no event for ${silenceMs} ms`)
    })

    message.on('data', guard((chunk: Buffer) => {
      // Buffered data may come after an abort.
      if (isOver) return
      let keepsUp = true
      for (const event of splitter.push(chunk)) {
        noteKind(event)
        if (asideBytes > MAX_ASIDE_BYTES || asideCount > MAX_ASIDE_COUNT) return cut('comments without end')
        const taken = take(event)
        if (taken === Taken.Gap) return cut('an event is missing')
        if (taken === Taken.Slowly) keepsUp = false
      }
      if (splitter.isTooLong()) return cut(`an event of over ${MAX_EVENT_BYTES} bytes, in too many chunks, or without room`)
      if (keepsUp) return
      isPaused = true
      message.pause()
      onceDrained(guard(() => {
        isPaused = false
        lastPieceMs = timers.nowMs()
        message.resume()
      }))
    }))
    message.on('end', guard(() => {
      // A server may end in the middle of an event.
      if (splitter.rest().length > 0) return breakOff('broke off')
      const end = bytesEndOf(answer)
      finish(end, end === BytesEnd.BrokenOff ? 'broke off' : 'ended')
    }))
    message.on('error', guard((error: Error) => breakOff(error.message)))
    message.on('close', guard(() => breakOff('connection closed')))
  })
