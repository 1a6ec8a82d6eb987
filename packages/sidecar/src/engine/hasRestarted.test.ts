import { expect } from 'chai'

import { hasRestarted } from './hasRestarted.js'

import type { ServerReport } from '@figmount/fleet'

const report = (startedAtUnixMs: number | undefined, orderCount: number): ServerReport => ({
  startedAtUnixMs, orderCount, models: [], arrivingAdapters: [], isBusy: false, runningCount: 0, startingCount: 0, isDraining: false, inMemory: [], onDisk: []
})

describe('reports of an engine', () => {
  it('show a restart by the time of the start, also when the clock went back', () => {
    expect(hasRestarted(report(1_000, 3), report(1_000, 4))).to.equal(false)
    expect(hasRestarted(report(1_000, 0), report(2_000, 0))).to.equal(true)
    expect(hasRestarted(report(2_000, 0), report(1_000, 5))).to.equal(true)
  })

  it('without that time show it by a count of orders that falls', () => {
    expect(hasRestarted(report(undefined, 3), report(undefined, 3))).to.equal(false)
    expect(hasRestarted(report(undefined, 3), report(1_000, 4))).to.equal(false)
    expect(hasRestarted(report(undefined, 3), report(undefined, 0))).to.equal(true)
  })
})
