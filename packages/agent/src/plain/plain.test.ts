import { createServer } from 'node:http'
import { createTimerService, sleep } from '@figmount/base'
import { expect } from 'chai'

import { createCallPlain } from './callPlain.js'
import { probeService } from './probeService.js'

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { PlainCall } from '@figmount/peers'
import type { CallEnd, CallPlain } from './callPlain.js'

const timers = createTimerService()
const callOf = (path: string, body = ''): PlainCall =>
  ({ method: 'POST', path, headers: [['x-key', 'k1'], ['connection', 'close'], ['accept', 'a'], ['accept', 'b']], body: Buffer.from(body) })

describe('plain service', () => {
  let server: Server
  let call: CallPlain
  let address: string
  const seen: IncomingMessage[] = []
  const sockets = new Set<Socket>()
  let respond: (request: IncomingMessage, response: ServerResponse) => void

  const run = async (path: string, repeatable: boolean, onSent = (): void => {}): Promise<CallEnd> =>
    await call({ call: callOf(path, 'body'), repeatable, signal: new AbortController().signal, onSent })

  beforeEach(async () => {
    seen.length = 0
    sockets.clear()
    respond = (_request, response) => { response.setHeader('x-answer', 'yes').writeHead(201).end('done') }
    server = createServer((request, response) => {
      seen.push(request)
      respond(request, response)
    })
    server.on('connection', socket => sockets.add(socket))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    call = createCallPlain(address, timers)
  })

  afterEach(async () => {
    for (const socket of sockets) socket.destroy()
    await new Promise(resolve => server.close(resolve))
  })

  it('receives a call unchanged', async () => {
    const end = await run('/records?id=1', true)
    expect(seen[0]?.headers).to.include({ 'x-key': 'k1', accept: 'a, b', 'content-length': '4' })
    expect(seen[0]?.url).to.equal('/records?id=1')
    if (end.kind !== 'answered') throw new Error(end.fault.message)
    expect(end.answer.status).to.equal(201)
    expect(end.answer.headers).to.deep.include(['x-answer', 'yes'])
    expect(Buffer.from(end.answer.body).toString()).to.equal('done')
  })

  // A device between agent and service drops an idle pooled connection without closing it. The next call on it would
  // hang; a repeatable call is sent again, and a non-repeatable one never uses a pooled connection.
  it('is reached although an idle connection has gone silent', async function () {
    this.timeout(8_000)
    await run('/first', true)
    const [pooled] = sockets
    // The service's end stops reading: data sent on this connection is lost.
    pooled?.pause()
    pooled?.removeAllListeners('data')
    respond = (request, response) => { if (request.socket !== pooled) response.end('fresh') }
    const once = await run('/once', false)
    expect(once.kind).to.equal('answered')
    const again = await run('/again', true)
    expect(again.kind).to.equal('answered')
    const answered = seen.filter(({ socket }) => socket !== pooled).map(({ url }) => url)
    expect(answered).to.deep.equal(['/once', '/again'])
  })

  it('does not receive a non-repeatable call twice', async () => {
    respond = request => { request.socket.destroy() }
    const end = await run('/bill', false)
    expect(end).to.include({ kind: 'failed', sent: true })
    await sleep(timers, 20)
    expect(seen).to.have.length(1)
  })

  it('receives nothing while it is down', async () => {
    await new Promise(resolve => server.close(resolve))
    let isSent = false
    const end = await run('/bill', false, () => { isSent = true })
    expect(end).to.include({ kind: 'failed', sent: false })
    expect(isSent).to.equal(false)
    expect(await probeService(address, timers)).to.equal('refused')
  })

  it('is not considered dead after it interrupted one call', async () => {
    expect(await probeService(address, timers)).to.equal('up')
  })
})
