import { expect } from 'chai'

import { hasRestarted } from './hasRestarted.js'

import type { ServerReport } from '@figmount/fleet'

const report = (startedAtUnixMs: number | undefined, orderCount: number): ServerReport => ({
  startedAtUnixMs, orderCount, models: [], arrivingAdapters: [], isBusy: false, runningCount: 0, startingCount: 0, isDraining: false, inMemory: [], onDisk: []
})

describe('hasRestarted', () => {
  it('detects a restart by the start time, also when the clock was set back', () => {
    expect(hasRestarted(report(1_000, 3), report(1_000, 4))).to.equal(false)
    expect(hasRestarted(report(1_000, 0), report(2_000, 0))).to.equal(true)
    expect(hasRestarted(report(2_000, 0), report(1_000, 5))).to.equal(true)
  })

  it('detects a restart by a lower order count when the start time is missing', () => {
    expect(hasRestarted(report(undefined, 3), report(undefined, 3))).to.equal(false)
    expect(hasRestarted(report(undefined, 3), report(1_000, 4))).to.equal(false)
    expect(hasRestarted(report(undefined, 3), report(undefined, 0))).to.equal(true)
  })
})
