import { once } from 'node:events'
import { maxHeaderSize } from 'node:http'
import { createServer } from 'node:net'
import { createReadBarrier, createTimerService, sleep } from '@figmount/base'
import { expect } from 'chai'

import { createConnectionPool } from './createConnectionPool.js'
import { sendToServer } from './sendToServer.js'

import type { AddressInfo, Server, Socket } from 'node:net'
import type { HeaderCodec } from '@figmount/fleet'
import type { ConnectionPool } from './createConnectionPool.js'
import type { SendContext } from './sendToServer.js'
import type { OutboundRequest } from './types.js'

const SERVER_ID = 's1'
const NO_BODY_ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
const INTERIM_ANSWER = 'HTTP/1.1 100 Continue\r\n\r\n'
const BEGUN_ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf'

/** More than a connection's receiver accepts before it reads, less than the sender's system buffers. */
const LONG_BODY = Buffer.alloc(1_000_000)

const timers = createTimerService()

/** The events of one connection on the server's side. */
interface Seen {
  readonly socket: Socket
  readonly how: string[]
  byteCount: number
}

describe('sending to a server', () => {
  let server: Server
  let pool: ConnectionPool
  let connections: Seen[]
  let requestCount = 0

  const listen = async (answer: string, readsAtOnce = true): Promise<void> => {
    server = createServer({ pauseOnConnect: !readsAtOnce }, socket => {
      const seen: Seen = { socket, how: [], byteCount: 0 }
      connections.push(seen)
      socket.on('data', data => {
        seen.byteCount += data.length
        if (answer !== '') socket.write(answer)
      })
      socket.on('end', () => seen.how.push('end'))
      socket.on('error', (error: NodeJS.ErrnoException) => seen.how.push(error.code ?? ''))
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  }

  const send = async (signal: AbortSignal, body = Buffer.from('wall'), mayBeInTransit = true, reads = createReadBarrier(timers)): ReturnType<typeof sendToServer> => {
    const codec = { decodeAnswer: () => ({ requestId: '', serverId: SERVER_ID, isNotRun: false }) } as unknown as HeaderCodec
    const context: SendContext = { pool, codec, timers, reads, noteThrown: ({ message }) => { throw new Error(message) } }
    const outbound: OutboundRequest = {
      requestId: `r${requestCount++}`,
      start: { serverId: SERVER_ID, startedAtUnixMs: undefined },
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      method: 'POST',
      url: '/',
      headers: ['Content-Length', String(body.length)],
      body,
      headTimeoutMs: 5_000,
      mayBeInTransit: () => mayBeInTransit
    }
    return await sendToServer(context, outbound, signal)
  }

  // Not `once` of node:events, which rejects on the error that some tests wait for.
  const closeOf = async ({ socket }: Seen): Promise<void> => await new Promise(resolve => { socket.once('close', () => resolve()) })

  const untilSeen = async (check: (seen: Seen) => boolean): Promise<Seen> => {
    for (;;) {
      const found = connections.find(check)
      if (found) return found
      await sleep(timers, 5)
    }
  }

  beforeEach(() => {
    connections = []
    pool = createConnectionPool()
  })

  afterEach(() => {
    pool.close()
    for (const { socket } of connections) socket.destroy()
    server.close()
  })

  // A server's instance is paused, or the network to it is cut, while requests are in transit, and their callers leave. An orderly close
  // is delivered after the delayed bytes, so the server would get the whole request seconds later.
  it('cancels a request in transit when its caller leaves', async () => {
    await listen('', false)
    const leaving = new AbortController()
    const sent = send(leaving.signal, LONG_BODY)
    const seen = await untilSeen(() => true)
    await sleep(timers, 100)
    leaving.abort()
    expect((await sent).isLeft()).to.equal(true)
    await sleep(timers, 50)
    seen.socket.resume()
    await closeOf(seen)
    expect(seen.byteCount).to.be.lessThan(LONG_BODY.length)
  })

  it('writes nothing for a caller that left while the connection was opened', async () => {
    // Guards against a request that is written first when a standstill ends, before it is read that its caller has left.
    await listen(NO_BODY_ANSWER)
    const leaving = new AbortController()
    const pass = async (): Promise<void> => { leaving.abort() }
    const sent = await send(leaving.signal, Buffer.from('wall'), true, { pass, isLate: () => true })
    expect(sent.swap().map(({ mayHaveRun }) => mayHaveRun).extract()).to.equal(false)
    await sleep(timers, 50)
    expect(connections.map(({ byteCount }) => byteCount)).to.deep.equal([0])
  })

  it('resets the connection of a request that may be in transit', async () => {
    await listen('')
    const leaving = new AbortController()
    const sent = send(leaving.signal)
    const seen = await untilSeen(({ byteCount }) => byteCount > 0)
    leaving.abort()
    expect((await sent).isLeft()).to.equal(true)
    await closeOf(seen)
    expect(seen.how).to.deep.equal(['ECONNRESET'])
  })

  // A reset is sent only once. If that packet were lost, a server that runs the request would continue although no caller waits.
  it('closes in order once the server has the request', async () => {
    await listen('')
    const leaving = new AbortController()
    const sent = send(leaving.signal, Buffer.from('wall'), false)
    const seen = await untilSeen(({ byteCount }) => byteCount > 0)
    leaving.abort()
    expect((await sent).isLeft()).to.equal(true)
    await closeOf(seen)
    expect(seen.how).to.deep.equal(['end'])
  })

  // A server that has begun to answer has the request, so the end of the exchange must reach it even if a packet is lost.
  it('closes in order once the answer has begun', async () => {
    await listen(BEGUN_ANSWER)
    const leaving = new AbortController()
    const open = (await send(leaving.signal)).unsafeCoerce()
    open.message.on('error', () => {}).resume()
    await sleep(timers, 50)
    leaving.abort()
    const seen = await untilSeen(() => true)
    await closeOf(seen)
    expect(seen.how).to.deep.equal(['end'])
  })

  // The caller's connection closes after its answer, while the server's stays open and is reused for the next request.
  it('leaves a keep-alive connection open once its answer is complete', async () => {
    await listen(NO_BODY_ANSWER)
    const leaving = new AbortController()
    const first = (await send(leaving.signal)).unsafeCoerce()
    await once(first.message.resume(), 'end')
    await sleep(timers, 20)
    leaving.abort()
    first.abort()
    const second = (await send(new AbortController().signal)).unsafeCoerce()
    await once(second.message.resume(), 'end')
    expect(connections.map(({ how }) => how)).to.deep.equal([[]])
  })

  // Guards against interim answers without end, which keep a router from all other work.
  it('ends an exchange whose interim answers are longer than a head may be', async () => {
    await listen(INTERIM_ANSWER.repeat(maxHeaderSize / INTERIM_ANSWER.length + 1) + NO_BODY_ANSWER)
    const { fault, mayHaveRun } = (await send(new AbortController().signal)).swap().unsafeCoerce()
    expect({ kind: fault.kind, mayHaveRun }).to.deep.equal({ kind: 'unavailable', mayHaveRun: true })
    await closeOf(await untilSeen(() => true))
  })

  // Guards against refusing a server that uses what HTTP lets it send before its answer.
  it('takes interim answers up to the length of a head', async () => {
    const hint = 'HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n'
    const progress = 'HTTP/1.1 102 Processing\r\n\r\n'
    await listen(hint + INTERIM_ANSWER + progress.repeat((maxHeaderSize - 200) / progress.length) + NO_BODY_ANSWER)
    const { message } = (await send(new AbortController().signal)).unsafeCoerce()
    expect(message.statusCode).to.equal(200)
    await once(message.resume(), 'end')
  })
})
