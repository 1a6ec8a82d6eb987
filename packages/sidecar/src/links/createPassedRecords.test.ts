import { expect } from 'chai'

import { createPassedRecords } from './createPassedRecords.js'

import type { FeedRecord, Relay } from '@figmount/fleet'

const relay = (...records: readonly FeedRecord[]): Relay => ({ type: 'relay', feedName: 'op', records })

const record = (offset: number, key = 'config'): FeedRecord => ({ key, value: Buffer.from('x'), offset })

describe('records that an agent passes on', () => {
  it('go to routers once, however many routers bring them', () => {
    // Guards against copies of a configuration by the number of routers.
    const passed = createPassedRecords()
    expect(passed.takeNew(relay(record(4)))?.records).to.have.length(1)
    for (let router = 1; router < 31; router++) expect(passed.takeNew(relay(record(4)))).to.equal(undefined)
    expect(passed.takeNew(relay(record(5)))?.records).to.have.length(1)
  })

  it('are told apart by feed and key', () => {
    const passed = createPassedRecords()
    passed.takeNew(relay(record(4)))
    expect(passed.takeNew({ ...relay(record(4)), feedName: 'servers' })?.records).to.have.length(1)
    expect(passed.takeNew(relay(record(4), record(4, 'other')))?.records).to.deep.equal([record(4, 'other')])
  })

  it('never include an older one after a newer one', () => {
    const passed = createPassedRecords()
    passed.takeNew(relay(record(5)))
    expect(passed.takeNew(relay(record(4)))).to.equal(undefined)
  })
})
