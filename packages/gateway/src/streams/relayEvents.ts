import { isComplete } from '../forwarding/isComplete.js'
import { createEventSplitter } from './createEventSplitter.js'

import type { TimerService } from '@figmount/base'
import type { OpenAnswer } from '../forwarding/types.js'
import type { StreamEvent } from './createEventSplitter.js'

/** How a stream from one server ended. */
export interface RelayEnd {
  readonly isWhole: boolean
  readonly reason: string
}

interface Options {
  readonly answer: OpenAnswer
  readonly timers: TimerService
  /** Takes an event; returns false when the reader is too slow. */
  readonly take: (event: StreamEvent) => boolean
  /** Calls back once the reader can take more. */
  readonly onceDrained: (resume: () => void) => void
  /** Time without data from the server after which the stream counts as broken. */
  readonly silenceMs: number
}

/** Relays a server's events one by one until the stream ends or breaks off. */
export const relayEvents = async ({ answer, timers, take, onceDrained, silenceMs }: Options): Promise<RelayEnd> =>
  await new Promise(resolve => {
    const { message, abort } = answer
    const splitter = createEventSplitter()
    let lastDataMs = timers.nowMs()
    let isPaused = false

    const finish = (isWhole: boolean, reason: string): void => {
      stopWatching()
      resolve({ isWhole, reason })
    }

    // Guards against a server that stops sending in the middle of a stream while its connection stays open: the caller would wait until
    // it gives up. Aborting the exchange lets a resumable stream continue on another server. While the reader is stalled, nothing is read
    // from the server, so that silence does not count.
    const stopWatching = timers.every(silenceMs / 4, () => {
      if (isPaused || timers.nowMs() - lastDataMs < silenceMs) return
      finish(false, `no event for ${silenceMs} ms`)
      abort()
    })

    message.on('data', (chunk: Buffer) => {
      lastDataMs = timers.nowMs()
      let keepsUp = true
      for (const event of splitter.push(chunk)) keepsUp = take(event) && keepsUp
      if (keepsUp) return
      isPaused = true
      message.pause()
      onceDrained(() => {
        isPaused = false
        lastDataMs = timers.nowMs()
        message.resume()
      })
    })
    message.on('end', () => {
      const hasEnded = isComplete(message) && splitter.rest().length === 0
      finish(hasEnded, hasEnded ? 'ended' : 'broke off')
    })
    message.on('error', error => finish(false, error.message))
    message.on('close', () => finish(false, 'connection closed'))
  })
