import { createClient } from '@connectrpc/connect'
import { PlatformLog } from '@figmount/schema'
import { expect } from 'chai'

import { startForTest } from '../testing/startForTest.js'

import type { StandinUnderTest } from '../testing/startForTest.js'

const codeOf = async (call: Promise<unknown>): Promise<string> =>
  await call.then(() => 'ok', (error: Error) => /\[(\w+)\]/.exec(error.message)?.[1] ?? error.message)

describe('log stand-in', () => {
  let standin: StandinUnderTest
  beforeEach(async () => { standin = await startForTest({ kind: 'log', appends_per_second: 4 }) })
  afterEach(async () => await standin.stop())

  it('answers a waiting read when records are appended', async () => {
    const log = createClient(PlatformLog, standin.transport)
    const waiting = log.read({ fromOffset: 0n, maxCount: 10, waitMs: 20_000 })
    await log.append({ payloads: [Uint8Array.of(7), Uint8Array.of(8)] })
    const { records, headOffset } = await waiting
    expect(records.map(record => record.payload[0])).to.deep.equal([7, 8])
    expect(headOffset).to.equal(2n)
  })

  it('stores a record whose answer was lost', async () => {
    const log = createClient(PlatformLog, standin.transport)
    await standin.command({ action: 'lose', count: 1 })
    expect(await codeOf(log.append({ payloads: [Uint8Array.of(9)] }))).to.equal('unavailable')
    const { records } = await log.read({ fromOffset: 0n, maxCount: 10, waitMs: 0 })
    expect(records.map(record => record.payload[0])).to.deep.equal([9])
  })

  it('refuses appends over its rate limit', async () => {
    const log = createClient(PlatformLog, standin.transport)
    const codes: string[] = []
    for (let index = 0; index < 12; index += 1) codes.push(await codeOf(log.append({ payloads: [Uint8Array.of(index)] })))
    expect(codes.slice(0, 2)).to.deep.equal(['ok', 'ok'])
    expect(codes).to.include('resource_exhausted')
  })

  it('fails reads during an outage', async () => {
    const log = createClient(PlatformLog, standin.transport)
    await standin.command({ action: 'outage', on: true })
    expect(await codeOf(log.read({ fromOffset: 0n, maxCount: 10, waitMs: 0 }))).to.equal('unavailable')
    await standin.command({ action: 'outage', on: false })
    expect(await codeOf(log.read({ fromOffset: 0n, maxCount: 10, waitMs: 0 }))).to.equal('ok')
  })
})
