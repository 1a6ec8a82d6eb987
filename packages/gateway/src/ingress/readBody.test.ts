import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { expect } from 'chai'

import { readBody } from './readBody.js'

import type { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Stop } from '../stopping/types.js'

const MAX_BYTES = 100
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
    const stop = { onEnded: () => () => {} } as unknown as Stop
    server = createServer((message, response) => {
      readBody(message, MAX_BYTES, stop).then(read => {
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

  it('is whole at its length or its last chunk', async () => {
    expect(await send('Content-Length: 4\r\n\r\ndone', close)).to.deep.equal(['done'])
    expect(await send('Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n', close)).to.deep.equal(['done'])
  })
})
