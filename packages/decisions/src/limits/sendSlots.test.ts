import { expect } from 'chai'

import { makeRandom } from '../simulation/makeRandom.js'
import { firstSlotMs, moveSlot, slotGapMs, slotWaitMs, takeSlot } from './sendSlots.js'

import type { ServerPace } from './sendSlots.js'

const WINDOW_MS = 4_000
/** The platform's bound on the requests in any window. */
const maxInWindow = (limitPerS: number): number => 1.5 * limitPerS * WINDOW_MS / 1_000 + 5

const mostInWindow = (timesMs: readonly number[]): number => {
  let most = 0
  let from = 0
  for (const [index, atMs] of timesMs.entries()) {
    while ((timesMs[from] ?? 0) <= atMs - WINDOW_MS) from += 1
    most = Math.max(most, index - from + 1)
  }
  return most
}

/** Routers that each get `perS` requests a second; returns the times at which requests were sent. */
const simulate = (pace: ServerPace, perSAt: (nowMs: number) => number, durationMs: number, seed: number): readonly number[] => {
  const random = makeRandom(seed)
  const slots = Array.from({ length: pace.routerCount }, () => firstSlotMs(pace, 0, random()))
  const sentMs: number[] = []
  for (let nowMs = 0; nowMs < durationMs; nowMs += 10) {
    for (const [router, nextMs] of slots.entries()) {
      if (random() >= perSAt(nowMs) / 100 || slotWaitMs(nextMs, pace, nowMs) > 0) continue
      sentMs.push(nowMs)
      slots[router] = takeSlot(nextMs, pace, nowMs)
    }
  }
  return sentMs
}

describe('slots of a limited server', () => {
  for (const [limitPerS, routerCount] of [[0.2, 4], [1, 2], [1, 4], [1, 24], [1, 68], [6, 4], [6, 68], [40, 4], [40, 68]] as const) {
    it(`keep ${routerCount} routers within ${limitPerS} a second, under steady load and in a burst after a pause`, () => {
      const pace = { limitPerS, routerCount }
      const steady = simulate(pace, () => 20, 60_000, 1)
      const burst = simulate(pace, nowMs => nowMs < 90_000 ? 0 : 90, 110_000, 2)
      expect(mostInWindow(steady)).to.be.at.most(maxInWindow(limitPerS))
      expect(mostInWindow(burst)).to.be.at.most(maxInWindow(limitPerS))
    })
  }

  it('use the limit up when there is enough demand', () => {
    // Guards against a server in need that gets far less than it takes.
    for (const routerCount of [2, 4, 24]) {
      const sent = simulate({ limitPerS: 5, routerCount }, () => 20, 60_000, 3)
      expect(sent.length).to.be.within(0.85 * 300, 1.1 * 300)
    }
  })

  it('are seldom if the server takes nothing, but come', () => {
    const pace = { limitPerS: 0, routerCount: 4 }
    expect(slotGapMs(pace)).to.equal(40_000)
    expect(simulate(pace, () => 20, 120_000, 4).length).to.be.within(8, 14)
  })

  it('come sooner once the limit rises', () => {
    const low = { limitPerS: 0.2, routerCount: 4 }
    const high = { limitPerS: 20, routerCount: 4 }
    const nextMs = takeSlot(firstSlotMs(low, 0, 0), low, 0)
    expect(slotWaitMs(nextMs, low, 0)).to.equal(20_000)
    expect(slotWaitMs(moveSlot(nextMs, high, 0), high, 0)).to.be.at.most(200)
  })

  it('bind nothing for a limit far above the demand', () => {
    const pace = { limitPerS: 1e9, routerCount: 4 }
    const nextMs = firstSlotMs(pace, 0, 1)
    expect(slotWaitMs(nextMs, pace, 1)).to.equal(0)
    expect(slotWaitMs(takeSlot(nextMs, pace, 1), pace, 1)).to.equal(0)
  })
})
