import { createHash } from 'node:crypto'
import { createServer } from 'node:net'
import { expect } from 'chai'
import { pack } from 'msgpackr'
import { createEventLog, createTimerService } from '@figmount/base'

import { NO_OFFSET } from './wrapSocket.js'
import { openLink } from './openLink.js'

import type { AddressInfo, Server } from 'node:net'
import type { InstanceName } from '@figmount/base'

/** Constant from RFC 6455 that a server hashes together with the key in the client's handshake. */
const HANDSHAKE_GUID = '258EAFA5-E914-47DA-95CA-C5AB0DC85B11'
const FINAL_BINARY_FRAME = 0x82
/** The message goes on in another frame. */
const CONTINUED_BINARY_FRAME = 0x02

interface Message {
  readonly type: string
}

const frameOf = (message: Message): Buffer => {
  const payload = pack({ offset: 0, clock: 1, body: message })
  return Buffer.concat([Buffer.from([FINAL_BINARY_FRAME, payload.length]), payload])
}

/** Starts a peer that sends bytes in the same write as the handshake response, and may then close the connection in order. */
const listenWithEarlyBytes = async (bytes: Buffer, isClosed = false): Promise<Server> => {
  const server = createServer(socket => {
    socket.once('data', data => {
      const [, key = ''] = /sec-websocket-key: (.*)\r\n/i.exec(String(data)) ?? []
      const accept = createHash('sha1').update(key + HANDSHAKE_GUID).digest('base64')
      const head = `HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: ${accept}\r\n\r\n`
      socket.write(Buffer.concat([Buffer.from(head), bytes]))
      if (isClosed) socket.end()
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

const open = async (server: Server) => {
  const { port } = server.address() as AddressInfo
  const timers = createTimerService()
  const context = {
    instance: 'r' as InstanceName,
    sharedKey: 'key',
    timers,
    events: createEventLog({ instance: 'r' as InstanceName, role: 'router', timers }),
    offset: () => NO_OFFSET,
    onPeerOffset: () => {}
  }
  const opened = await openLink<Message, Message>(`127.0.0.1:${port}`, context).run()
  const link = opened.unsafeCoerce()
  timers.after(200, () => link.close('the test ends'))
  return link
}

describe('openLink', () => {
  it('receives a message that arrives together with the handshake response', async () => {
    // An agent sends its engine's state as soon as a router is linked. On a busy machine that message arrives together with the
    // handshake response. It was lost, and the router refused every request for a model that had to be loaded.
    const server = await listenWithEarlyBytes(frameOf({ type: 'first' }))
    const link = await open(server)
    const received: string[] = []
    for await (const message of link.received) {
      received.push(message.type)
      link.close('the test ends')
    }
    expect(received).to.deep.equal(['first'])
    server.close()
  })

  it('receives no message that is cut by the end of its connection', async () => {
    // Guards against taking part of a killed peer's message for the whole.
    const cut = frameOf({ type: 'second' }).subarray(0, -1)
    const fragment = frameOf({ type: 'second' })
    fragment[0] = CONTINUED_BINARY_FRAME
    for (const last of [cut, fragment]) {
      const server = await listenWithEarlyBytes(Buffer.concat([frameOf({ type: 'first' }), last]), true)
      const received: string[] = []
      for await (const message of (await open(server)).received) received.push(message.type)
      expect(received).to.deep.equal(['first'])
      server.close()
    }
  })
})
