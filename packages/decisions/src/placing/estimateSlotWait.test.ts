import { expect } from 'chai'

import { makeRandom } from '../simulation/makeRandom.js'
import { estimateSlotWaitMs } from './estimateSlotWait.js'
import { planWait } from './planWait.js'

const SLOT_COUNT = 32
const OCCUPANCY_MS = 1_900
const PATIENCE_MS = 2_000
const REPORT_AGE_MS = 100
const STEP_MS = 5
const LENGTH_MS = 20_000
const RETRY_MS = 1_000

interface Caller {
  readonly requestedMs: number
  readonly isRetry: boolean
}

interface Outcome {
  readonly callerCount: number
  readonly servedCount: number
  /** Callers that left before the first event. */
  readonly leftCount: number
}

/** Simulates one engine whose callers leave a stream without a first event, and retry once when they are refused. */
const simulate = (perS: number, seed: number, isRefused: (waitMs: number) => boolean): Outcome => {
  const random = makeRandom(seed)
  const randomLength = makeRandom(seed + 100)
  const waiting: Caller[] = []
  const returning: Caller[] = []
  const endsMs: number[] = []
  let reported = { runningCount: 0, startingCount: 0 }
  let reportedAtMs = 0
  let callerCount = 0
  let leftCount = 0
  let servedCount = 0
  const requestSlot = (caller: Caller): void => {
    const waitMs = estimateSlotWaitMs({ slotCount: SLOT_COUNT, occupancyMs: OCCUPANCY_MS, ...reported })
    if (!isRefused(waitMs)) waiting.push(caller)
    else if (!caller.isRetry) returning.push({ ...caller, requestedMs: caller.requestedMs + RETRY_MS * (1 + randomLength()), isRetry: true })
  }
  for (let nowMs = 0; nowMs < LENGTH_MS; nowMs += STEP_MS) {
    if (random() < perS * STEP_MS / 1_000) {
      callerCount += 1
      requestSlot({ requestedMs: nowMs, isRetry: false })
    }
    for (const caller of returning.filter(({ requestedMs: askedMs }) => askedMs <= nowMs)) {
      returning.splice(returning.indexOf(caller), 1)
      requestSlot(caller)
    }
    while (endsMs.length > 0 && Math.min(...endsMs) <= nowMs) endsMs.splice(endsMs.indexOf(Math.min(...endsMs)), 1)
    while (waiting.length > 0 && endsMs.length < SLOT_COUNT) {
      const caller = waiting.shift()
      if (!caller) break
      if (nowMs - caller.requestedMs > PATIENCE_MS) {
        leftCount += 1
        continue
      }
      servedCount += 1
      endsMs.push(nowMs + OCCUPANCY_MS * (0.5 + randomLength()))
    }
    if (nowMs - reportedAtMs < REPORT_AGE_MS) continue
    reportedAtMs = nowMs
    reported = { runningCount: endsMs.length, startingCount: waiting.length }
  }
  return { callerCount, servedCount, leftCount }
}

const isHopeless = (waitMs: number): boolean => planWait({ readyInMs: waitMs, leftMs: PATIENCE_MS }).isHopeless

/** Requests per second that the engine can serve. */
const FULL_PER_S = SLOT_COUNT / OCCUPANCY_MS * 1_000

const SEEDS = [1, 2, 3, 4, 5]

describe('estimateSlotWaitMs', () => {
  it('is 0 while a slot is free', () => {
    expect(estimateSlotWaitMs({ slotCount: 32, runningCount: 31, startingCount: 4, occupancyMs: 2_000 })).to.equal(0)
  })

  it('grows with the number of waiting requests', () => {
    const waitMs = (startingCount: number): number => estimateSlotWaitMs({ slotCount: 32, runningCount: 32, startingCount, occupancyMs: 1_920 })
    expect(waitMs(0)).to.equal(60)
    expect(waitMs(9)).to.equal(600)
  })

  it('under overload, refuses at once callers that would leave, and serves nearly as many', () => {
    for (const seed of SEEDS) {
      const queued = simulate(FULL_PER_S * 1.3, seed, () => false)
      const refused = simulate(FULL_PER_S * 1.3, seed, isHopeless)
      expect(queued.leftCount / queued.callerCount).to.be.above(0.05)
      expect(refused.leftCount).to.be.below(queued.leftCount / 2)
      expect(refused.servedCount / queued.servedCount).to.be.above(0.97)
    }
  })

  it('refuses hardly any caller under a load that the engine can serve', () => {
    for (const seed of SEEDS) {
      const { callerCount, servedCount } = simulate(FULL_PER_S * 0.8, seed, isHopeless)
      expect(callerCount - servedCount).to.be.below(5)
    }
  })
})
