import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import { expect } from 'chai'
import { wasReset } from '@figmount/base'

import { startForTest } from '../testing/startForTest.js'

import type { AddressInfo, Server, Socket } from 'node:net'
import type { StandinUnderTest } from '../testing/startForTest.js'

const openConnection = async (address: string): Promise<Socket> => {
  const socket = connect(Number(address.split(':')[1]), '127.0.0.1')
  socket.on('error', () => {})
  await once(socket, 'connect')
  return socket
}

const echo = async (socket: Socket, text: string): Promise<string> => {
  socket.write(text)
  const [chunk] = await once(socket, 'data')
  return String(chunk)
}

/** What a connection brings until it is closed, and whether it is reset then. */
const readToClose = async (socket: Socket): Promise<{ readonly text: string, readonly isReset: boolean }> => await new Promise(resolve => {
  let text = ''
  let isReset = false
  socket.prependListener('end', () => { isReset = wasReset(socket) })
  socket.on('data', chunk => { text += String(chunk) })
  socket.once('error', () => { isReset = true })
  socket.once('close', () => { resolve({ text, isReset }) })
})

describe('proxy stand-in', () => {
  let target: Server
  let standin: StandinUnderTest
  beforeEach(async () => {
    target = createServer(socket => { socket.on('error', () => {}).pipe(socket) }).listen(0, '127.0.0.1')
    await once(target, 'listening')
    standin = await startForTest({ kind: 'proxy', target: `127.0.0.1:${(target.address() as AddressInfo).port}` })
  })
  afterEach(async () => {
    target.close()
    await standin.stop()
  })

  // A middlebox loses the state of a connection: bytes written to it are dropped, neither side is closed, and new connections work. Later
  // bytes never arrive without those, so the connection is reset once the fault is over.
  it('drops bytes on open connections while new ones work', async () => {
    const existing = await openConnection(standin.address)
    expect(await echo(existing, 'one')).to.equal('one')
    const ended = readToClose(existing)
    await standin.command({ action: 'fault', fault: { kind: 'drop' }, scope: 'existing' })
    existing.write('two')
    const fresh = await openConnection(standin.address)
    expect(await echo(fresh, 'three')).to.equal('three')
    expect(existing.closed).to.equal(false)
    await standin.command({ action: 'fault', fault: { kind: 'none' }, scope: 'all' })
    existing.write('four')
    expect(await ended).to.deep.equal({ text: '', isReset: true })
    fresh.destroy()
  })

  it('holds bytes back during a stall', async () => {
    const socket = await openConnection(standin.address)
    expect(await echo(socket, 'one')).to.equal('one')
    await standin.command({ action: 'fault', fault: { kind: 'stall' } })
    const answered = echo(socket, 'two')
    const fresh = await openConnection(standin.address)
    await standin.command({ action: 'fault', fault: { kind: 'none' } })
    expect(await answered).to.equal('two')
    socket.destroy()
    fresh.destroy()
  })

  it('resets open connections on the cut command', async () => {
    const socket = await openConnection(standin.address)
    expect(await echo(socket, 'one')).to.equal('one')
    const closed = new Promise(resolve => { socket.once('close', resolve) })
    await standin.command({ action: 'cut' })
    await closed
  })

  it('passes on a reset right behind the last bytes as a reset', async () => {
    // Guards against a proxy that closes in order what its target has reset.
    for (let count = 0; count < 5; count++) {
      target.once('connection', (peer: Socket) => {
        peer.once('data', () => {
          peer.write('part')
          peer.resetAndDestroy()
        })
      })
      const socket = await openConnection(standin.address)
      const ended = readToClose(socket)
      socket.write('one')
      expect((await ended).isReset).to.equal(true)
    }
  })
})
