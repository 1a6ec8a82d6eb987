import { createClient } from '@connectrpc/connect'
import { WeightStore } from '@figmount/schema'
import { expect } from 'chai'

import { startForTest } from '../testing/startForTest.js'
import { relativeTransferSpeed } from './relativeTransferSpeed.js'

describe('weight store stand-in', () => {
  it('divides its speed among transfers beyond the full-speed count', () => {
    expect([1, 4, 8].map(count => relativeTransferSpeed(count, 4))).to.deep.equal([1, 1, 0.5])
  })

  it('refuses fetches over its rate limit with a retry time', async () => {
    const standin = await startForTest({ kind: 'weights', loads_per_second: 2 })
    const store = createClient(WeightStore, standin.transport)
    const hints = await Promise.all(Array.from({ length: 4 }, async (_, index) =>
      await store.fetch({ checkpoint: `c${index}`, sizeMb: 10, instance: 'a1' }).then(() => 'ok', error => error.metadata.get('retry-after-ms'))))
    await standin.stop()
    expect(hints.filter(hint => hint === 'ok')).to.have.length(2)
    expect(hints.filter(hint => Number(hint) > 0)).to.have.length(2)
  })
})
