import { expect } from 'chai'
import fc from 'fast-check'

import { evictLeastLoss } from './evictLeastLoss.js'

import type { ModelId } from '@figmount/base'
import type { ResidentView } from './types.js'

const resident = (model: string, overrides: Partial<ResidentView> = {}): ResidentView => ({
  model: model as ModelId,
  adapter: '',
  memoryMb: 10_000,
  runningCount: 0,
  queuedCount: 0,
  idleMs: 600_000,
  reloadMs: 20_000,
  priority: 5,
  requestsPerHour: 1,
  pinned: false,
  ...overrides
})

const names = (victims: readonly ResidentView[] | undefined): readonly string[] =>
  victims?.map(victim => victim.model + victim.adapter) ?? ['nobody']

describe('eviction', () => {
  it('evicts idle models, models that reload quickly and those of low priority', () => {
    const dear = resident('dear')
    expect(names(evictLeastLoss([dear, resident('cheap', { reloadMs: 2_000 })], 1))).to.deep.equal(['cheap'])
    expect(names(evictLeastLoss([dear, resident('low', { priority: 0 })], 1))).to.deep.equal(['low'])
    expect(names(evictLeastLoss([dear, resident('idle', { idleMs: 9e6, requestsPerHour: 0.1 })], 1))).to.deep.equal(['idle'])
  })

  it('evicts a model with its adapters, but not while one of them is in use', () => {
    const adapter = resident('m', { adapter: '+a', memoryMb: 100 })
    expect(names(evictLeastLoss([resident('m'), adapter], 10_050)).length).to.equal(2)
    expect(evictLeastLoss([resident('m'), { ...adapter, runningCount: 1 }], 5_000)).to.equal(undefined)
  })

  it('keeps a smaller model when a larger victim frees enough', () => {
    const small = resident('small', { memoryMb: 100, reloadMs: 10 })
    const large = resident('large', { memoryMb: 10_000 })
    expect(names(evictLeastLoss([small, large], 5_000))).to.deep.equal(['large'])
  })

  it('frees enough or nothing, and never evicts a model in use', () => {
    const residents = fc.array(fc.record({
      model: fc.constantFrom('a', 'b', 'c'),
      adapter: fc.constantFrom('', 'x', 'y'),
      memoryMb: fc.integer({ min: 1, max: 1_000 }),
      runningCount: fc.nat(1),
      queuedCount: fc.nat(1),
      pinned: fc.boolean(),
      requestsPerHour: fc.nat(50)
    }), { maxLength: 12 })
    fc.assert(fc.property(residents, fc.integer({ min: 1, max: 2_000 }), (overs, neededMb) => {
      const views = overs.map(over => resident(over.model, { ...over, model: over.model as ModelId }))
      const victims = evictLeastLoss(views, neededMb)
      if (!victims) return true
      const freedMb = victims.reduce((sum, one) => sum + one.memoryMb, 0)
      return freedMb >= neededMb && victims.every(one => !one.pinned && one.runningCount + one.queuedCount === 0)
    }), { seed: 6, numRuns: 500 })
  })
})
