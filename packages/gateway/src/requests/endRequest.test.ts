import { createServer, get } from 'node:http'

import { createEventLog, createMetrics, createVirtualTimers, Framing } from '@figmount/base'
import { expect } from 'chai'

import { EndProof } from '../forwarding/framing.js'
import { sendAnswer } from './endRequest.js'

import type { AddressInfo } from 'node:net'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { InstanceName } from '@figmount/base'
import type { GatewayContext, RoutedRequest } from './types.js'

const ONE_WRITE_BYTES = 16 * 1024

/** The part of a socket's handle that hands bytes to the system, one call for each write. */
type Handle = Record<'writev' | 'writeBuffer' | 'writeLatin1String' | 'writeUtf8String', (...options: readonly unknown[]) => unknown>

const countWrites = ({ socket }: ServerResponse): (() => number) => {
  let count = 0
  const { _handle: handle } = socket as unknown as { readonly _handle: Handle }
  for (const name of ['writev', 'writeBuffer', 'writeLatin1String', 'writeUtf8String'] as const) {
    const write = handle[name]
    handle[name] = (...options) => {
      count += 1
      return write.apply(handle, [...options])
    }
  }
  return () => count
}

const sendOne = async (bodyBytes: number): Promise<{ readonly writeCount: number, readonly headers: IncomingMessage['headers'], readonly byteCount: number }> => {
  const timers = createVirtualTimers()
  const context = {
    timers, events: createEventLog({ instance: 'r' as InstanceName, role: 'router', timers }), metrics: createMetrics()
  } as unknown as GatewayContext
  let writeCount = (): number => 0
  const server = createServer((_message, response) => {
    writeCount = countWrites(response)
    const request = { caller: { requestId: 'r1' }, arrivedMs: 0, response } as unknown as RoutedRequest
    sendAnswer(context, request, {
      peer: 's1', status: 200, headers: ['a', 'b'], body: Buffer.alloc(bodyBytes, 'x'), announcedLength: undefined, end: { framing: Framing.Connection, proof: EndProof.HealthCheck }
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const message = await new Promise<IncomingMessage>(resolve => { get({ host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent: false }, resolve) })
  let byteCount = 0
  for await (const chunk of message as AsyncIterable<Buffer>) byteCount += chunk.length
  server.close()
  return { writeCount: writeCount(), headers: message.headers, byteCount }
}

describe('an answer without framing', () => {
  it('is handed to the system in one write if it is short', async () => {
    // Guards against the end of the router's process between two writes of an answer that ends with its connection.
    const { writeCount, headers, byteCount } = await sendOne(ONE_WRITE_BYTES)
    expect({ writeCount, byteCount }).to.deep.equal({ writeCount: 1, byteCount: ONE_WRITE_BYTES })
    expect(headers['content-length'] ?? headers['transfer-encoding']).to.equal(undefined)
  })

  it('gets a length if it is longer', async () => {
    // Guards against the same for one that the system may take in parts.
    const { headers, byteCount } = await sendOne(ONE_WRITE_BYTES + 1)
    expect(byteCount).to.equal(ONE_WRITE_BYTES + 1)
    expect(headers['content-length']).to.equal(String(ONE_WRITE_BYTES + 1))
  })
})
