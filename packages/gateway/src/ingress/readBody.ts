import { createByteStore } from '@figmount/base'

import type { IncomingMessage } from 'node:http'
import type { Stop } from '../stopping/types.js'

/** A request's body, or why there is none. */
export type BodyRead =
  | { readonly type: 'whole', readonly body: Buffer }
  | { readonly type: 'tooLarge' }
  | { readonly type: 'brokenOff' }
  /** The router's stop ended before the body did. */
  | { readonly type: 'stopped' }

/**
 * Reads a request's body up to a limit. A stopping router waits for it until the end of the stop: an earlier answer would be sent while
 * bytes are still in transit and may be lost.
 */
export const readBody = async (message: IncomingMessage, maxBytes: number, stop: Stop): Promise<BodyRead> =>
  await new Promise(resolve => {
    const received = createByteStore()
    const unsubscribe = stop.onEnded(() => resolve({ type: 'stopped' }))
    message.on('data', (chunk: Buffer) => {
      if (received.byteCount() + chunk.length <= maxBytes) return received.append(chunk)
      message.pause()
      resolve({ type: 'tooLarge' })
    })
    message.on('end', () => resolve({ type: 'whole', body: received.take() }))
    message.on('error', () => resolve({ type: 'brokenOff' }))
    message.on('close', () => {
      unsubscribe()
      resolve({ type: 'brokenOff' })
    })
  })
