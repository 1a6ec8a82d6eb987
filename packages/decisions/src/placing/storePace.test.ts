import { expect } from 'chai'

import { initialPace, notePace } from './storePace.js'

import type { LoadObservation, StorePace } from './storePace.js'

const FULL_SPEED_MS = 6_000

const observation = (concurrentCount: number, tookMs: number, hasEnded = true): LoadObservation => ({ fullSpeedMs: FULL_SPEED_MS, tookMs, concurrentCount, hasEnded })

/** Runs loads at the estimated concurrency, one round after the other, on a store that serves `sustainedCount` at full speed. */
const simulateLoads = (sustainedCount: number, rounds: number): StorePace => {
  let pace = initialPace
  let nowMs = 0
  for (let round = 0; round < rounds; round++) {
    const concurrentCount = pace.fullSpeedCount
    const tookMs = FULL_SPEED_MS * Math.max(1, concurrentCount / sustainedCount)
    nowMs += tookMs
    pace = notePace(pace, observation(concurrentCount, tookMs), nowMs)
  }
  return pace
}

describe('pace of the weight store', () => {
  it('drops to one when each additional load slows down the others', () => {
    // Forty engines load from a store that serves one load at full speed. Together, each load would take forty times as long.
    expect(simulateLoads(1, 1).fullSpeedCount).to.equal(1)
  })

  it('rises to what the store can serve', () => {
    expect(simulateLoads(4, 3).fullSpeedCount).to.be.within(4, 5)
  })

  it('detects a slowed load before its end', () => {
    expect(notePace(initialPace, observation(2, FULL_SPEED_MS * 1.9, false), 0).fullSpeedCount).to.equal(1)
  })

  it('does not rise because of loads that ran alone', () => {
    expect(notePace(initialPace, observation(1, FULL_SPEED_MS), 0)).to.equal(initialPace)
  })

  it('stays low for some time after a reduction', () => {
    const low = notePace(initialPace, observation(2, FULL_SPEED_MS * 2), 0)
    expect(notePace(low, observation(1, FULL_SPEED_MS), 6_000).fullSpeedCount).to.equal(1)
    expect(notePace(low, observation(1, FULL_SPEED_MS), 30_000).fullSpeedCount).to.equal(2)
  })
})
