import { createServer } from 'node:http'

import type { IncomingMessage, RequestListener, Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Reads a message's body to its end. */
export const readBody = async (message: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = []
  for await (const chunk of message) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

/** A header's value, empty if it is absent. */
export const headerOf = (message: IncomingMessage, name: string): string => {
  const value = message.headers[name]
  return typeof value === 'string' ? value : ''
}

/** Listens on a free port of a loopback address, or on the given one. */
export const listenOn = async (listener: RequestListener, host: string, port = 0): Promise<{ readonly server: Server, readonly address: string }> => {
  const server = createServer(listener)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const { port: bound } = server.address() as AddressInfo
  return { server, address: `${host}:${bound}` }
}

export const sleep = async (durationMs: number): Promise<void> => await new Promise(resolve => { setTimeout(resolve, durationMs) })

/** Waits until a condition holds; throws if it does not in time. */
export const until = async (condition: () => boolean | Promise<boolean>, what: string, limitMs = 15_000): Promise<void> => {
  const endMs = performance.now() + limitMs
  while (performance.now() < endMs) {
    if (await condition()) return
    await sleep(50)
  }
  throw new Error(`not in time: ${what}`)
}
