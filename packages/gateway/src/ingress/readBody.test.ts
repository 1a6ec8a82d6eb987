import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { createVirtualTimers } from '@figmount/base'
import { expect } from 'chai'

import { FREE_BODY_BYTES } from '../memory/constants.js'
import { createBodyRoom } from '../memory/createBodyRoom.js'
import { readBody } from './readBody.js'

import type { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { VirtualTimers } from '@figmount/base'
import type { BodyRoom } from '../memory/createBodyRoom.js'
import type { Stop } from '../stopping/types.js'

const MAX_BYTES = 100_000
const LEFT_MS = 1_000
const SETTLE_MS = 50

const PARTS = {
  length: 'Content-Length: 9\r\n\r\nhalf',
  chunk: 'Transfer-Encoding: chunked\r\n\r\n9\r\nhalf',
  afterChunk: 'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
  lastChunk: 'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n',
  otherCoding: 'Transfer-Encoding: gzip\r\n\r\nhalf',
  chunksBeforeCoding: 'Transfer-Encoding: chunked, gzip\r\n\r\n4\r\nhalf\r\n0\r\n\r\n'
}

type EndConnection = (socket: Socket) => void

const close: EndConnection = socket => { socket.end() }

const reset: EndConnection = socket => { socket.resetAndDestroy() }

describe('a caller\'s body', () => {
  let server: Server
  let reads: string[]
  let room: BodyRoom
  let timers: VirtualTimers

  const send = async (rest: string, end: EndConnection): Promise<readonly string[]> => {
    reads = []
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    socket.on('error', () => {})
    await once(socket, 'connect')
    socket.write(`POST / HTTP/1.1\r\nHost: h\r\n${rest}`)
    await new Promise(resolve => { setTimeout(resolve, SETTLE_MS) })
    end(socket)
    await new Promise(resolve => { setTimeout(resolve, SETTLE_MS) })
    socket.destroy()
    return reads
  }

  beforeEach(async () => {
    room = createBodyRoom(MAX_BYTES)
    timers = createVirtualTimers()
    const stop = { onEnded: () => () => {} } as unknown as Stop
    server = createServer((message, response) => {
      const share = room.open()
      response.once('close', share.end)
      readBody(message, { maxBytes: MAX_BYTES, leftMs: LEFT_MS, share, stop, timers }).then(read => {
        reads.push(read.type === 'whole' ? String(read.body) : read.type)
        response.end()
      }, () => {})
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  it('is not whole before its length or its last chunk', async () => {
    // Guards against running half a request whose caller was killed: the system closes the connection in order.
    for (const [name, part] of Object.entries(PARTS)) {
      for (const end of [close, reset]) expect(new Set([...await send(part, end), 'brokenOff']), name).to.deep.equal(new Set(['brokenOff']))
    }
  }).timeout(10_000)

  it('ends with its request\'s time', async () => {
    // Guards against bodies that never end and keep what was read of them.
    expect(await send('Content-Length: 4\r\n\r\nhal', () => { timers.advance(LEFT_MS) })).to.deep.equal(['late'])
    expect(room.byteCount()).to.equal(0)
  })

  it('that is long needs room, and gives it back with the end of its request', async () => {
    // Guards against bodies that are each within their bound and together larger than the machine's memory.
    const other = room.open()
    other.note(MAX_BYTES + 1)
    const lengthOf = (byteCount: number): string => `Content-Length: ${byteCount}\r\n\r\n${'x'.repeat(byteCount)}`
    expect(await send(lengthOf(FREE_BODY_BYTES + 1), close)).to.deep.equal(['noRoom'])
    expect((await send(lengthOf(FREE_BODY_BYTES), close))[0]).to.have.length(FREE_BODY_BYTES)
    other.end()
    other.note(MAX_BYTES)
    expect((await send(lengthOf(FREE_BODY_BYTES + 1), close))[0]).to.have.length(FREE_BODY_BYTES + 1)
    expect(room.byteCount()).to.equal(0)
  })

  it('is not read on once it comes in too many short chunks', async () => {
    // Guards against callers whose bodies keep a router from its other work.
    expect(await send(`Transfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(5_000)}`, close)).to.deep.equal(['tinyChunks'])
  })

  it('is whole at its length or its last chunk', async () => {
    expect(await send('Content-Length: 4\r\n\r\ndone', close)).to.deep.equal(['done'])
    expect(await send('Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n', close)).to.deep.equal(['done'])
  })
})
