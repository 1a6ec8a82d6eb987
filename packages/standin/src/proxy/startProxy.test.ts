import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import { expect } from 'chai'

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

  // A middlebox loses the state of a connection: bytes written to it are dropped, neither side is closed, and new connections work.
  it('drops bytes on open connections while new ones work', async () => {
    const existing = await openConnection(standin.address)
    expect(await echo(existing, 'one')).to.equal('one')
    const nextData = once(existing, 'data')
    await standin.command({ action: 'fault', fault: { kind: 'drop' }, scope: 'existing' })
    existing.write('two')
    const fresh = await openConnection(standin.address)
    expect(await echo(fresh, 'three')).to.equal('three')
    await standin.command({ action: 'fault', fault: { kind: 'none' }, scope: 'all' })
    existing.write('four')
    expect(String((await nextData)[0])).to.equal('four')
    existing.destroy()
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
})
