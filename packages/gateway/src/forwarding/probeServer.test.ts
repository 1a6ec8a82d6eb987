import { once } from 'node:events'
import { createServer } from 'node:net'
import { createTimerService } from '@figmount/base'
import { ProbeResult } from '@figmount/decisions'
import { expect } from 'chai'

import { probeServer } from './probeServer.js'

import type { AddressInfo, Socket } from 'node:net'
import type { HeaderCodec, ServerEntry } from '@figmount/fleet'

const INTERIM_ANSWERS = 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(1_000)
const TIMEOUT_MS = 1_500

describe('probing a server', () => {
  // Guards against interim answers without end, which keep a router from all other work until the probe's time is up.
  it('ends before its time if the server sends interim answers without end', async () => {
    const open = new Set<Socket>()
    const server = createServer(socket => {
      open.add(socket)
      socket.on('error', () => {})
      socket.once('close', () => open.delete(socket))
      socket.once('data', () => socket.write(INTERIM_ANSWERS))
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const codec = { encodeForward: () => [] } as unknown as HeaderCodec
    const entry = { serverId: 's1', address: `127.0.0.1:${(server.address() as AddressInfo).port}` } as unknown as ServerEntry
    const startedMs = performance.now()
    expect(await probeServer({ timers: createTimerService(), codec }, entry, '/health', TIMEOUT_MS)).to.equal(ProbeResult.Unclear)
    expect(performance.now() - startedMs).to.be.below(TIMEOUT_MS / 2)
    for (const socket of open) socket.destroy()
    server.close()
  })
})
