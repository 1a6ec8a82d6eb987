import type { IncomingMessage } from 'node:http'

/** A request's body, or why there is none. */
export type BodyRead =
  | { readonly type: 'whole', readonly body: Buffer }
  | { readonly type: 'tooLarge' }
  | { readonly type: 'brokenOff' }

/** Reads a request's body up to a bound. */
export const readBody = async (message: IncomingMessage, maxBytes: number): Promise<BodyRead> =>
  await new Promise(resolve => {
    const chunks: Buffer[] = []
    let byteCount = 0
    message.on('data', (chunk: Buffer) => {
      byteCount += chunk.length
      if (byteCount <= maxBytes) {
        chunks.push(chunk)
        return
      }
      message.pause()
      resolve({ type: 'tooLarge' })
    })
    message.on('end', () => resolve({ type: 'whole', body: Buffer.concat(chunks) }))
    message.on('error', () => resolve({ type: 'brokenOff' }))
    message.on('close', () => resolve({ type: 'brokenOff' }))
  })
