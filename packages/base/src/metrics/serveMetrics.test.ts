import { once } from 'node:events'
import { connect } from 'node:net'
import { expect } from 'chai'

import { createEventLog } from '../events/createEventLog.js'
import { makeOwnRoom } from '../listeners/makeOwnRoom.js'
import { createTimerService } from '../timers/createTimerService.js'
import { serveRpc } from '../rpc/serveRpc.js'
import { createMetrics } from './createMetrics.js'
import { serveMetrics } from './serveMetrics.js'

import type { InstanceName } from '../ids/types.js'

const timers = createTimerService()

const TEXT = 'figmount_ä 1\n'
const LENGTH_LINE = `content-length: ${Buffer.byteLength(TEXT)}`

const context = { timers, connections: makeOwnRoom(timers) }

const metrics = { ...createMetrics(), text: () => TEXT }

const AHEAD_COUNT = 500

/** Sends requests ahead at a path, and returns how often the text was made until all are answered, and the turns that this took. */
const makeAhead = async (address: string, path: string, madeCount: () => number): Promise<{ readonly madeCount: number, readonly turnCount: number }> => {
  const [host = '', port = ''] = address.split(':')
  let [turnCount, isCounting, bytes] = [0, true, '']
  const countTurn = (): void => {
    turnCount += 1
    if (isCounting) setImmediate(countTurn)
  }
  const socket = connect(Number(port), host)
  socket.on('data', data => { bytes += String(data) })
  await once(socket, 'connect')
  setImmediate(countTurn)
  socket.write(`GET ${path} HTTP/1.1\r\n\r\n`.repeat(AHEAD_COUNT))
  while (bytes.split(TEXT).length <= AHEAD_COUNT) await once(socket, 'data')
  isCounting = false
  socket.destroy()
  return { madeCount: madeCount(), turnCount }
}

/** Returns the lines of an answer's head. */
const headOf = async (address: string, path: string): Promise<readonly string[]> => {
  const [host = '', port = ''] = address.split(':')
  const socket = connect(Number(port), host)
  let bytes = ''
  socket.on('data', data => { bytes += String(data) })
  socket.write(`GET ${path} HTTP/1.0\r\n\r\n`)
  await once(socket, 'close')
  return (bytes.split('\r\n\r\n')[0] ?? '').toLowerCase().split('\r\n')
}

const freeAddress = async (): Promise<string> => {
  const server = await serveRpc({ context, host: '127.0.0.1', port: 0, routes: () => {} })
  await server.close()
  return server.address
}

describe('metrics as text', () => {
  // Guards against a scraper of HTTP/1.0 that takes the part for the whole which a killed process had sent.
  it('name their length', async () => {
    const address = await freeAddress()
    const close = await serveMetrics(address, metrics, { ...context, events: createEventLog({ instance: 'a' as InstanceName, role: 'r', timers }) })
    expect(await headOf(address, '/')).to.include(LENGTH_LINE)
    close()
  })

  it('are made once a turn for all requests that are sent ahead', async () => {
    // Guards against crowds that keep a process from its callers: a page takes far longer to make than to ask for.
    let textCount = 0
    const counted = {
      ...metrics,
      text: () => {
        textCount += 1
        return TEXT
      }
    }
    const address = await freeAddress()
    const close = await serveMetrics(address, counted, { ...context, events: createEventLog({ instance: 'a' as InstanceName, role: 'r', timers }) })
    const { madeCount, turnCount } = await makeAhead(address, '/', () => textCount)
    expect(madeCount).to.be.at.most(turnCount)
    close()
    textCount = 0
    const server = await serveRpc({ context, host: '127.0.0.1', port: 0, routes: () => {}, metrics: counted })
    const onRpcPort = await makeAhead(server.address, '/metrics', () => textCount)
    expect(onRpcPort.madeCount).to.be.at.most(onRpcPort.turnCount)
    await server.close()
  })

  it('name their length on the port of the RPCs, as does the health', async () => {
    const server = await serveRpc({ context, host: '127.0.0.1', port: 0, routes: () => {}, metrics })
    expect(await headOf(server.address, '/metrics')).to.include(LENGTH_LINE)
    expect(await headOf(server.address, '/healthz')).to.include('content-length: 3')
    await server.close()
  })
})
