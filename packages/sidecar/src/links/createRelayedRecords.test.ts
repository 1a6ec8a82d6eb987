import { expect } from 'chai'

import { createRelayedRecords } from './createRelayedRecords.js'

import type { FeedRecord, Relay } from '@figmount/fleet'

const relay = (...records: readonly FeedRecord[]): Relay => ({ type: 'relay', feedName: 'op', records })

const record = (offset: number, key = 'config'): FeedRecord => ({ key, value: Buffer.from('x'), offset })

describe('createRelayedRecords', () => {
  it('relays a record once, however many routers send it', () => {
    // Guards against as many copies of a configuration as there are routers.
    const relayed = createRelayedRecords()
    expect(relayed.takeNew(relay(record(4)))?.records).to.have.length(1)
    for (let router = 1; router < 31; router++) expect(relayed.takeNew(relay(record(4)))).to.equal(undefined)
    expect(relayed.takeNew(relay(record(5)))?.records).to.have.length(1)
  })

  it('distinguishes records by feed and key', () => {
    const relayed = createRelayedRecords()
    relayed.takeNew(relay(record(4)))
    expect(relayed.takeNew({ ...relay(record(4)), feedName: 'servers' })?.records).to.have.length(1)
    expect(relayed.takeNew(relay(record(4), record(4, 'other')))?.records).to.deep.equal([record(4, 'other')])
  })

  it('relays no older record after a newer one', () => {
    const relayed = createRelayedRecords()
    relayed.takeNew(relay(record(5)))
    expect(relayed.takeNew(relay(record(4)))).to.equal(undefined)
  })
})
