import { expect } from 'chai'
import { createVirtualTimers, serveRpc } from '@figmount/base'
import { PlatformLog } from '@figmount/schema'

import { READ_SLACK_MS, READ_WAIT_MS } from './constants.js'
import { openLog } from './openLog.js'

import type { LogOffset } from '@figmount/base'

describe('calls to the log', () => {
  it('leave a connection that went silent', async () => {
    // Something between process and log forgets their connection: the read never ends. The process
    // must give it up on its own deadline and read over a new connection.
    const timers = createVirtualTimers()
    let connectionCount = 0
    let heard = (): void => {}
    const firstHeard = new Promise<void>(resolve => { heard = resolve })
    const served = await serveRpc({
      host: '127.0.0.1',
      port: 0,
      routes: router => {
        router.service(PlatformLog, {
          read: async () => {
            if (connectionCount === 1) {
              heard()
              return await new Promise(() => {})
            }
            return { records: [], oldestOffset: 0n, headOffset: 7n }
          },
          append: () => ({ firstOffset: 0n })
        })
      }
    })
    served.server.on('connection', () => { connectionCount += 1 })
    const log = openLog(served.address, timers)
    const first = log.read(0 as LogOffset, READ_WAIT_MS).run()
    await firstHeard
    timers.advance(READ_WAIT_MS + READ_SLACK_MS)
    expect((await first).swap().map(fault => fault.step).orDefault('')).to.equal('log.read')
    const second = await log.read(0 as LogOffset, READ_WAIT_MS).run()
    expect(second.map(read => read.headOffset).orDefault(0 as LogOffset)).to.equal(7)
    expect(connectionCount).to.equal(2)
    log.close()
    await served.close()
  })
})
