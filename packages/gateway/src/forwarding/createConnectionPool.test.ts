import { once } from 'node:events'
import { createServer, request as httpRequest } from 'node:http'
import { expect } from 'chai'

import { MAX_REQUESTS_PER_CONNECTION } from './constants.js'
import { createConnectionPool } from './createConnectionPool.js'

import type { IncomingMessage, Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { ConnectionPool } from './createConnectionPool.js'

const START = { serverId: 'a', startedAtUnixMs: 1 }

describe('connection pool', () => {
  let server: Server
  let pool: ConnectionPool

  /** Sends a request and reads its answer; resolves with the connection's own port. */
  const send = async (requestId: string): Promise<number> => {
    const { port } = server.address() as AddressInfo
    const request = httpRequest({ host: '127.0.0.1', port, agent: pool.agentFor(START, requestId) })
    let ownPort = 0
    request.once('socket', (socket: Socket) => {
      pool.noteUse(socket, requestId)
      if (socket.localPort === undefined) socket.once('connect', () => { ownPort = socket.localPort ?? 0 })
      else ownPort = socket.localPort
    })
    request.end()
    const [message] = await once(request, 'response') as [IncomingMessage]
    await once(message.resume(), 'end')
    // The connection becomes idle behind the end.
    await new Promise(resolve => { setImmediate(resolve) })
    return ownPort
  }

  beforeEach(async () => {
    pool = createConnectionPool()
    server = createServer((_message, response) => { response.end() })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => {
    pool.close()
    server.close()
    server.closeAllConnections()
  })

  // Guards against sending a request on a connection to a start that is gone.
  it('reuses no connection across a restart of the server', () => {
    const before = pool.agentFor({ serverId: 'a', startedAtUnixMs: 1 }, 'x')
    expect(pool.agentFor({ serverId: 'a', startedAtUnixMs: 1 }, 'x')).to.equal(before)
    const after = pool.agentFor({ serverId: 'a', startedAtUnixMs: 2 }, 'x')
    expect(after).not.to.equal(before)
    pool.retainStarts([{ serverId: 'a', startedAtUnixMs: 2 }])
    expect(pool.agentFor({ serverId: 'a', startedAtUnixMs: 2 }, 'x')).to.equal(after)
    expect(pool.agentFor({ serverId: 'a', startedAtUnixMs: 1 }, 'x')).not.to.equal(before)
  })

  it('reuses a connection for other ids', async () => {
    expect(await send('x')).to.equal(await send('y'))
  })

  // Guards against a late copy of the answer to an earlier send, which bears the id of the next one.
  it('sends no id twice on one connection', async () => {
    const ports = [await send('x'), await send('y'), await send('x'), await send('x'), await send('z')]
    const [kept = 0, , second = 0, third = 0] = ports
    expect(ports).to.deep.equal([kept, kept, second, third, kept])
    expect(new Set([kept, second, third]).size).to.equal(3)
  })

  // Guards against an answer without an id that another request on the connection has left behind.
  it('sends a request without an id on a new connection', async () => {
    expect(await send('x')).not.to.equal(await send(''))
    expect(await send('')).not.to.equal(await send(''))
  })

  // Guards against ids that are kept for as long as a connection lasts.
  it('closes a connection after its last request', async () => {
    const ports: number[] = []
    for (let count = 0; count <= MAX_REQUESTS_PER_CONNECTION; count++) ports.push(await send(`r${count}`))
    const [first] = ports
    expect(ports.filter(port => port === first)).to.have.length(MAX_REQUESTS_PER_CONNECTION)
  })
})
