import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import { expect } from 'chai'

import { watchReset } from './wasReset.js'

import type { AddressInfo, Socket } from 'node:net'

/** Ends of connections on which a peer sends some bytes and then does what `end` does. */
const playEnds = async (count: number, end: (socket: Socket) => void): Promise<readonly boolean[]> => {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.write('bytes')
    end(socket)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  const results: boolean[] = []
  for (let index = 0; index < count; index++) {
    const socket = connect(port, '127.0.0.1')
    let hasFailed = false
    socket.on('error', () => { hasFailed = true })
    const wasReset = watchReset(socket)
    socket.resume()
    await new Promise(resolve => { socket.once('close', resolve) })
    results.push(hasFailed || wasReset())
  }
  server.close()
  return results
}

describe('a connection that has ended', () => {
  it('was reset, also where the reset came with the last bytes', async () => {
    // Guards against a reset that Node shows as an orderly close.
    expect(await playEnds(20, socket => { socket.resetAndDestroy() })).to.deep.equal(Array.from({ length: 20 }, () => true))
  })

  it('was not reset if its peer has closed it in order', async () => {
    expect(await playEnds(20, socket => { socket.end() })).to.deep.equal(Array.from({ length: 20 }, () => false))
  })
})
