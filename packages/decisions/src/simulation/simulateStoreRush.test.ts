import { expect } from 'chai'

import { backOffByNeed, backOffEqually } from '../loading/pace.js'
import { shiftStart, simulateStoreRush } from './simulateStoreRush.js'

describe('rush to the weight store', () => {
  it('loads first what most callers wait for, without a central queue', () => {
    // A shift begins and forty models wake up. Forty callers of one model wait for as long as the single caller of
    // another: all agents ask again at once, all loads run beside each other, and all end late.
    const equal = simulateStoreRush(shiftStart(), { backOff: backOffEqually })
    const byNeed = simulateStoreRush(shiftStart(), { backOff: backOffByNeed })
    const central = simulateStoreRush(shiftStart(), { backOff: () => 20, centralLimit: 4 })
    expect(byNeed.meanCallerWaitMs).to.be.below(equal.meanCallerWaitMs * 0.65)
    expect(byNeed.meanCallerWaitMs).to.be.below(central.meanCallerWaitMs)
    expect(byNeed.endMs).to.be.below(equal.endMs * 1.03)
    expect(byNeed.refusedCount).to.be.below(equal.refusedCount / 2)
  })
})
