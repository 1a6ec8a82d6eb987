import { createBodyStore } from '@figmount/base'

import { FREE_BODY_BYTES } from '../memory/constants.js'

import type { IncomingMessage } from 'node:http'
import type { BodyFlaw, TimerService } from '@figmount/base'
import type { BodyShare } from '../memory/createBodyRoom.js'
import type { Stop } from '../stopping/types.js'

/** A request's body, or why there is none. */
export type BodyRead =
  | { readonly type: 'whole', readonly body: Buffer }
  | { readonly type: 'tooLarge' }
  /** It comes in too many short chunks. */
  | { readonly type: 'tinyChunks' }
  /** The bodies of other requests take all the room. */
  | { readonly type: 'noRoom' }
  /** Its request's time was up first. */
  | { readonly type: 'late' }
  | { readonly type: 'brokenOff' }
  /** The router's stop ended before the body did. */
  | { readonly type: 'stopped' }

interface Options {
  readonly maxBytes: number
  /** Time until the request's deadline. */
  readonly leftMs: number
  readonly share: BodyShare
  readonly stop: Stop
  readonly timers: TimerService
}

/**
 * Reads a request's body up to a limit. A stopping router waits for it until the end of the stop: an earlier answer would be sent while
 * bytes are still in transit and may be lost.
 */
export const readBody = async (message: IncomingMessage, { maxBytes, leftMs, share, stop, timers }: Options): Promise<BodyRead> =>
  await new Promise(resolve => {
    const received = createBodyStore(maxBytes, share.note)
    let isOver = false
    let unsubscribe = (): void => {}

    const finish = (read: BodyRead): void => {
      if (isOver) return
      isOver = true
      stopTimer()
      unsubscribe()
      if (read.type !== 'whole') received.clear()
      resolve(read)
    }
    const giveUp = (type: BodyFlaw | 'noRoom' | 'late'): void => {
      message.pause()
      finish({ type })
    }
    const stopTimer = timers.after(leftMs, () => giveUp('late'))
    unsubscribe = stop.onEnded(() => finish({ type: 'stopped' }))

    message.on('data', (chunk: Buffer) => {
      if (isOver) return
      const flaw = received.flawWith(chunk)
      if (flaw) return giveUp(flaw)
      if (received.byteCount() + chunk.length > FREE_BODY_BYTES && share.isFull()) return giveUp('noRoom')
      received.append(chunk)
    })
    message.on('end', () => {
      if (isOver) return
      const body = received.take()
      share.note(body.length)
      finish({ type: 'whole', body })
    })
    message.on('error', () => finish({ type: 'brokenOff' }))
    message.on('close', () => finish({ type: 'brokenOff' }))
  })
