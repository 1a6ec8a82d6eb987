import { createClient } from '@connectrpc/connect'
import { createTransport } from '@figmount/base'
import { InstanceList, PlatformLog } from '@figmount/schema'
import { expect } from 'chai'

import { createRig } from './createRig.js'

import type { Rig } from './types.js'

describe('rig', () => {
  let rig: Rig
  beforeEach(() => { rig = createRig('rig-test') })
  afterEach(async () => await rig.close())

  it('restarts a killed process at its address', async () => {
    const list = await rig.start({ name: 'list', binary: 'figmount-standin', sections: { process: { instance: 'list' }, standin: { kind: 'instances', instances: 'r1 router aa-1 127.0.0.1:9' } } })
    const client = createClient(InstanceList, createTransport({ address: list.address }))
    const firstPid = list.pid()
    expect(await list.kill()).to.deep.equal({ code: null, signal: 'SIGKILL' })
    await list.restart()
    expect(list.pid()).to.not.equal(firstPid)
    expect((await client.list({})).instances.map(instance => instance.name)).to.deep.equal(['r1'])
    expect((await list.stop()).code).to.equal(0)
  })

  it('puts a proxy before a process', async () => {
    const log = await rig.start({ name: 'log', binary: 'figmount-standin', sections: { process: { instance: 'log' }, standin: { kind: 'log' } } })
    const proxy = await rig.start({ name: 'proxy', binary: 'figmount-standin', sections: { process: { instance: 'proxy' }, standin: { kind: 'proxy', target: log.address } } })
    const client = createClient(PlatformLog, createTransport({ address: proxy.address }))
    await client.append({ payloads: [Uint8Array.of(1)] })
    await proxy.command({ action: 'refuse', on: true })
    await proxy.command({ action: 'cut' })
    const refused = await client.read({ fromOffset: 0n, maxCount: 1, waitMs: 0 }).then(() => 'ok', (error: Error) => error.message)
    expect(refused).to.not.equal('ok')
    await proxy.command({ action: 'refuse', on: false })
    expect((await client.read({ fromOffset: 0n, maxCount: 1, waitMs: 0 })).records).to.have.length(1)
    expect((await log.dump()).headOffset).to.equal(1)
  })

  it('reports why a process did not start', async () => {
    const started = rig.start({ name: 'odd', binary: 'figmount-standin', sections: { process: { instance: 'odd' }, standin: { kind: 'odd' } } })
    expect(await started.then(() => '', (error: Error) => error.message)).to.contain('[standin] kind')
  })
})
