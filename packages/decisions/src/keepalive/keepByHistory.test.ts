import { expect } from 'chai'

import { keepByHistory } from './keepByHistory.js'
import { preloadRegular } from './planPreload.js'

import type { IdleView } from './types.js'

const MINUTE_MS = 60_000
const view: IdleView = { idleMs: 0, pastGapsMs: [], reloadMs: 20_000, memoryShare: 0.4, idleCostWeight: 0.5 }

describe('keep-alive', () => {
  it('keeps a model over short gaps and unloads it in long ones', () => {
    const minutely = Array.from({ length: 20 }, () => 10 * MINUTE_MS)
    const daily = Array.from({ length: 20 }, () => 24 * 60 * MINUTE_MS)
    expect(keepByHistory({ ...view, pastGapsMs: minutely })).to.be.within(10 * MINUTE_MS, 12 * MINUTE_MS)
    expect(keepByHistory({ ...view, pastGapsMs: daily })).to.be.below(10 * MINUTE_MS)
  })

  it('unloads a model that is no longer used at its usual gaps', () => {
    const minutely = Array.from({ length: 20 }, () => 10 * MINUTE_MS)
    expect(keepByHistory({ ...view, pastGapsMs: minutely, idleMs: 240 * MINUTE_MS })).to.equal(0)
  })

  it('keeps a model for less time the higher the weight of idle cost, from always to never', () => {
    const pastGapsMs = [2, 5, 9, 20, 45, 90, 200, 400].map(minutes => minutes * MINUTE_MS)
    const stays = [0, 0.1, 0.25, 0.5, 0.75, 0.9, 1].map(idleCostWeight => keepByHistory({ ...view, pastGapsMs, idleCostWeight }))
    expect(stays).to.deep.equal([...stays].sort((a, b) => b - a))
    expect(stays.at(-1)).to.equal(0)
  })

  it('keeps a model for less time under memory pressure', () => {
    const pastGapsMs = [2, 5, 9, 20, 45, 90, 200].map(minutes => minutes * MINUTE_MS)
    expect(keepByHistory({ ...view, pastGapsMs, memoryPressure: 1 })).to.be.below(keepByHistory({ ...view, pastGapsMs }))
  })
})

describe('preloading', () => {
  const regular = Array.from({ length: 8 }, (_, index) => 60 * MINUTE_MS + index * 10_000)

  it('loads a regularly used model before its next use', () => {
    expect(preloadRegular({ ...view, pastGapsMs: regular })).to.be.within(55 * MINUTE_MS, 58 * MINUTE_MS)
  })

  it('does not preload irregularly used models, too late, or at too high a cost', () => {
    expect(preloadRegular({ ...view, pastGapsMs: [5, 50, 9, 200, 45, 90].map(minutes => minutes * MINUTE_MS) })).to.equal(undefined)
    expect(preloadRegular({ ...view, pastGapsMs: regular, idleMs: 59 * MINUTE_MS })).to.equal(undefined)
    expect(preloadRegular({ ...view, pastGapsMs: regular, idleCostWeight: 0.99 })).to.equal(undefined)
  })
})
