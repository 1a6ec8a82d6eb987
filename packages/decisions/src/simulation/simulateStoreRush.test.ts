import { expect } from 'chai'

import { backOffByNeed, backOffEqually } from '../loading/backOff.js'
import { shiftStart, simulateStoreRush } from './simulateStoreRush.js'

describe('burst of loads at the weight store', () => {
  it('favours the loads that most callers wait for, without a central queue', () => {
    // Forty models are requested at the start of a shift. With equal backoff, all agents retry at the same time and all loads run
    // concurrently and end late, so forty callers of one model wait as long as the single caller of another.
    const equal = simulateStoreRush(shiftStart(), { backOff: backOffEqually })
    const byNeed = simulateStoreRush(shiftStart(), { backOff: backOffByNeed })
    const central = simulateStoreRush(shiftStart(), { backOff: () => 20, centralLimit: 4 })
    expect(byNeed.meanCallerWaitMs).to.be.below(equal.meanCallerWaitMs * 0.65)
    expect(byNeed.meanCallerWaitMs).to.be.below(central.meanCallerWaitMs)
    expect(byNeed.endMs).to.be.below(equal.endMs * 1.03)
    expect(byNeed.refusedCount).to.be.below(equal.refusedCount / 2)
  })
})
