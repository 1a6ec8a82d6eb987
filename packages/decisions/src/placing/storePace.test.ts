import { expect } from 'chai'

import { firstPace, notePace } from './storePace.js'

import type { SeenLoad, StorePace } from './storePace.js'

const ALONE_MS = 6_000

const seen = (atOnceCount: number, tookMs: number, hasEnded = true): SeenLoad => ({ aloneMs: ALONE_MS, tookMs, atOnceCount, hasEnded })

/** Loads at the pace that is believed, one after the other, at a store that carries `carried` at full speed. */
const play = (carried: number, rounds: number): StorePace => {
  let pace = firstPace
  let nowMs = 0
  for (let round = 0; round < rounds; round++) {
    const atOnceCount = pace.fullSpeedCount
    const tookMs = ALONE_MS * Math.max(1, atOnceCount / carried)
    nowMs += tookMs
    pace = notePace(pace, seen(atOnceCount, tookMs), nowMs)
  }
  return pace
}

describe('pace of the weight store', () => {
  it('comes down to one where each further load slows all', () => {
    // Forty engines ask a store that carries one load at full speed. Each load would take forty times as long.
    expect(play(1, 1).fullSpeedCount).to.equal(1)
  })

  it('climbs to what the store carries', () => {
    expect(play(4, 3).fullSpeedCount).to.be.within(4, 5)
  })

  it('sees a slowed load before its end', () => {
    expect(notePace(firstPace, seen(2, ALONE_MS * 1.9, false), 0).fullSpeedCount).to.equal(1)
  })

  it('does not climb by loads that ran alone', () => {
    expect(notePace(firstPace, seen(1, ALONE_MS), 0)).to.equal(firstPace)
  })

  it('stays low for a while once it was too high', () => {
    const low = notePace(firstPace, seen(2, ALONE_MS * 2), 0)
    expect(notePace(low, seen(1, ALONE_MS), 6_000).fullSpeedCount).to.equal(1)
    expect(notePace(low, seen(1, ALONE_MS), 30_000).fullSpeedCount).to.equal(2)
  })
})
