import { expect } from 'chai'

import { firstPace, notePace } from './storePace.js'

import type { LoadObservation, StorePace } from './storePace.js'

const ALONE_MS = 6_000

const observation = (atOnceCount: number, tookMs: number, hasEnded = true): LoadObservation => ({ aloneMs: ALONE_MS, tookMs, atOnceCount, hasEnded })

/** Runs loads at the estimated concurrency, one round after the other, on a store that serves `sustainedCount` at full speed. */
const simulateLoads = (sustainedCount: number, rounds: number): StorePace => {
  let pace = firstPace
  let nowMs = 0
  for (let round = 0; round < rounds; round++) {
    const atOnceCount = pace.fullSpeedCount
    const tookMs = ALONE_MS * Math.max(1, atOnceCount / sustainedCount)
    nowMs += tookMs
    pace = notePace(pace, observation(atOnceCount, tookMs), nowMs)
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
    expect(notePace(firstPace, observation(2, ALONE_MS * 1.9, false), 0).fullSpeedCount).to.equal(1)
  })

  it('does not rise because of loads that ran alone', () => {
    expect(notePace(firstPace, observation(1, ALONE_MS), 0)).to.equal(firstPace)
  })

  it('stays low for some time after a reduction', () => {
    const low = notePace(firstPace, observation(2, ALONE_MS * 2), 0)
    expect(notePace(low, observation(1, ALONE_MS), 6_000).fullSpeedCount).to.equal(1)
    expect(notePace(low, observation(1, ALONE_MS), 30_000).fullSpeedCount).to.equal(2)
  })
})
