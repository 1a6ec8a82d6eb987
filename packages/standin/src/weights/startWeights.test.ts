import { createClient } from '@connectrpc/connect'
import { WeightStore } from '@figmount/schema'
import { expect } from 'chai'

import { startForTest } from '../testing/startForTest.js'
import { transferSpeed } from './transferSpeed.js'

describe('weight store stand-in', () => {
  it('shares its speed beyond the full-speed count', () => {
    expect([1, 4, 8].map(count => transferSpeed(count, 4))).to.deep.equal([1, 1, 0.5])
  })

  it('refuses fetches over its rate with a time to come back', async () => {
    const standin = await startForTest({ kind: 'weights', loads_per_second: 2 })
    const store = createClient(WeightStore, standin.transport)
    const hints = await Promise.all(Array.from({ length: 4 }, async (_, index) =>
      await store.fetch({ checkpoint: `c${index}`, sizeMb: 10, instance: 'a1' }).then(() => 'ok', error => error.metadata.get('retry-after-ms'))))
    await standin.stop()
    expect(hints.filter(hint => hint === 'ok')).to.have.length(2)
    expect(hints.filter(hint => Number(hint) > 0)).to.have.length(2)
  })
})
