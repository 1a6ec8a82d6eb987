import { expect } from 'chai'
import fc from 'fast-check'

import { countedForMs, newMember, noteCounted, noteRouterCount, ROUTER_RETENTION_MS } from '../limits/membership.js'
import { makeRandom } from '../simulation/makeRandom.js'
import { maxRetries, mayRetry, retryWaitMs } from './retryAllowance.js'

import type { Membership } from '../limits/membership.js'
import type { RetryView } from './retryAllowance.js'

const LIMITS = { ratio: 0.2, windowMs: 10_000, slackCount: 54 }
const STEP_MS = 100
/** Time in which a number of routers reaches all of them. */
const SPREAD_MS = 300

interface Router {
  readonly name: string
  startedMs: number
  isUp: boolean
  /** Linked to those who count routers. */
  isLinked: boolean
  member: Membership
  requestTimesMs: number[]
  retryTimesMs: number[]
}

interface Faults {
  readonly seed: number
  readonly routerCount: number
  readonly requestsPerS: number
  /** Chances per second, for each router or for all. */
  readonly killChance: number
  readonly killAllChance: number
  readonly joinChance: number
  readonly replaceChance: number
  readonly cutChance: number
  /** Share of the time in which requests come, as bursts. */
  readonly burstShare: number
}

const makeRouter = (name: string, startedMs: number): Router =>
  ({ name, startedMs, isUp: true, isLinked: false, member: newMember, requestTimesMs: [], retryTimesMs: [] })

const countSince = (timesMs: readonly number[], sinceMs: number): number => timesMs.filter(timeMs => timeMs > sinceMs).length

/** Routers that retry as often as they may, and the requests and retries of all. */
const simulate = (faults: Faults, durationMs: number) => {
  const random = makeRandom(faults.seed)
  const happens = (perS: number): boolean => random() < perS * STEP_MS / 1_000
  const routers = Array.from({ length: faults.routerCount }, (_, index) => makeRouter(`r${index}`, 0))
  const lastLinkedMs = new Map<string, number>()
  const heard: Array<{ readonly atMs: number, readonly count: number }> = []
  const requestTimesMs: number[] = []
  const retryTimesMs: number[] = []

  const kill = (router: Router): void => { router.isUp = false }
  const restart = (router: Router, nowMs: number): void => { Object.assign(router, makeRouter(router.name, nowMs)) }

  const disturb = (nowMs: number): void => {
    if (happens(faults.killAllChance)) for (const router of routers) kill(router)
    if (happens(faults.joinChance) && routers.length < 16) routers.push(makeRouter(`r${routers.length}-${nowMs}`, nowMs))
    if (happens(faults.replaceChance)) {
      routers.push(makeRouter(`n${nowMs}`, nowMs))
      routers.shift()
    }
    for (const router of routers) {
      if (!router.isUp && random() < 0.3) restart(router, nowMs)
      if (router.isUp && happens(faults.killChance)) kill(router)
      router.isLinked = router.isUp && (router.isLinked ? !happens(faults.cutChance) : random() < 0.3)
    }
  }

  const countRouters = (nowMs: number): void => {
    for (const { name, isLinked } of routers) if (isLinked) lastLinkedMs.set(name, nowMs)
    for (const [name, atMs] of [...lastLinkedMs]) if (nowMs - atMs > ROUTER_RETENTION_MS) lastLinkedMs.delete(name)
    heard.push({ atMs: nowMs, count: lastLinkedMs.size })
    const known = heard.findLast(({ atMs }) => atMs <= nowMs - SPREAD_MS)
    for (const router of routers) {
      if (!router.isLinked || !known) continue
      router.member = noteCounted(noteRouterCount(router.member, known.count, nowMs), nowMs)
    }
  }

  const viewOf = (router: Router, nowMs: number): RetryView => ({
    requestCount: countSince(router.requestTimesMs, nowMs - LIMITS.windowMs),
    retryCount: countSince(router.retryTimesMs, nowMs - LIMITS.windowMs),
    upForMs: nowMs - router.startedMs,
    routerCount: router.member.routers.count,
    countedForMs: countedForMs(router.member, nowMs)
  })

  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    disturb(nowMs)
    countRouters(nowMs)
    const isBurst = nowMs % 20_000 < 20_000 * faults.burstShare
    for (const router of routers) {
      if (!router.isUp || !isBurst || !happens(faults.requestsPerS / routers.length)) continue
      router.requestTimesMs.push(nowMs)
      requestTimesMs.push(nowMs)
      // Retries come in bursts, too.
      if (random() < 0.5) continue
      while (mayRetry(LIMITS, viewOf(router, nowMs))) {
        router.retryTimesMs.push(nowMs)
        retryTimesMs.push(nowMs)
      }
    }
  }
  return { requestTimesMs, retryTimesMs }
}

/** Retries beyond those that are allowed, in the worst window. */
const worstExcess = ({ requestTimesMs, retryTimesMs }: ReturnType<typeof simulate>): number => {
  const countIn = (timesMs: readonly number[], untilMs: number): number => timesMs.filter(timeMs => timeMs > untilMs - LIMITS.windowMs && timeMs <= untilMs).length
  let worst = -Infinity
  for (const untilMs of new Set(retryTimesMs)) {
    const requestCount = Math.max(...[0, 0.5, 1].map(before => countIn(requestTimesMs, untilMs - before * LIMITS.windowMs)))
    worst = Math.max(worst, countIn(retryTimesMs, untilMs) - requestCount * LIMITS.ratio - LIMITS.slackCount)
  }
  return worst
}

const CALM = { killChance: 0, killAllChance: 0, joinChance: 0, replaceChance: 0, cutChance: 0, burstShare: 1 }
const WHOLE_VIEW: RetryView = { requestCount: 0, retryCount: 0, upForMs: 20_000, routerCount: 4, countedForMs: 20_000 }

describe('retries of all routers', () => {
  const chance = fc.constantFrom(0, 0.02, 0.1, 0.4)
  const faults: fc.Arbitrary<Faults> = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    routerCount: fc.integer({ min: 1, max: 12 }),
    requestsPerS: fc.constantFrom(4, 20, 60),
    killChance: chance,
    killAllChance: chance,
    joinChance: chance,
    replaceChance: chance,
    cutChance: chance,
    burstShare: fc.constantFrom(0.2, 0.5, 1)
  })

  it('stay within the limits over random starts, stops, joins and cuts', () => {
    // Guards against a start that spends anew what its predecessor has spent, and against routers that nobody counts.
    fc.assert(fc.property(faults, drawn => { expect(worstExcess(simulate(drawn, 60_000))).to.be.at.most(0) }), { seed: 49, numRuns: 150 })
  })

  it('stay within the limits when all routers are killed every few seconds', () => {
    for (const killAllChance of [0.2, 0.4, 1]) {
      expect(worstExcess(simulate({ ...CALM, seed: 3, routerCount: 4, requestsPerS: 60, killAllChance }, 120_000))).to.be.at.most(0)
    }
  })

  it('stay within the limits if all are spent at once just before the kill and again a window later', () => {
    const requestCount = 600
    for (const routerCount of [4, 12, 68]) {
      const before = { ...WHOLE_VIEW, requestCount: requestCount / routerCount, routerCount }
      const after = { ...before, upForMs: LIMITS.windowMs - 1, countedForMs: LIMITS.windowMs - 1 }
      const spent = [before, after].map(view => Math.floor(maxRetries(LIMITS, view)) * routerCount)
      expect(spent[0]).to.be.greaterThan(0)
      expect((spent[0] ?? 0) + (spent[1] ?? 0)).to.be.at.most(requestCount * LIMITS.ratio + LIMITS.slackCount)
    }
  })

  it('use up half of what is allowed while nothing starts', () => {
    // Guards against bounds that hold because nothing is retried.
    const { requestTimesMs, retryTimesMs } = simulate({ ...CALM, seed: 5, routerCount: 4, requestsPerS: 20 }, 60_000)
    const sinceMs = 60_000 - LIMITS.windowMs
    const allowed = countSince(requestTimesMs, sinceMs) * LIMITS.ratio + LIMITS.slackCount
    expect(countSince(retryTimesMs, sinceMs)).to.be.at.least(allowed * 0.5)
  })

  it('are allowed for a router that has served few requests', () => {
    expect(mayRetry(LIMITS, WHOLE_VIEW)).to.equal(true)
  })

  it('are one at most, and those that belong to its requests, for a router that nobody counts', () => {
    expect(maxRetries(LIMITS, { ...WHOLE_VIEW, countedForMs: 0 })).to.be.at.most(1)
    expect(mayRetry(LIMITS, { ...WHOLE_VIEW, requestCount: 20, retryCount: 1, countedForMs: 0 })).to.equal(true)
  })

  it('are allowed once at the first requests of a start', () => {
    // Guards against callers that are refused beside idle servers whenever their router starts again.
    for (const routerCount of [4, 12]) {
      expect(mayRetry(LIMITS, { ...WHOLE_VIEW, requestCount: 1, upForMs: 100, countedForMs: 0, routerCount })).to.equal(true)
    }
  })
})

describe('the wait for a retry', () => {
  it('is over when one is left', () => {
    expect(retryWaitMs(LIMITS, WHOLE_VIEW, 0, [])).to.equal(0)
  })

  it('lasts until enough retries have left the window', () => {
    expect(retryWaitMs(LIMITS, { ...WHOLE_VIEW, retryCount: 7 }, 1, [300, 500, 900])).to.equal(500)
  })

  it('lasts until a start has earned the next one', () => {
    const view = { ...WHOLE_VIEW, requestCount: 10, upForMs: 2_000, countedForMs: 2_000 }
    const waitMs = retryWaitMs(LIMITS, { ...view, retryCount: 1 }, 0, [])
    expect(waitMs).to.be.within(100, 1_000)
  })

  it('has no end that anything tells for a router without requests that nobody counts', () => {
    expect(retryWaitMs(LIMITS, { ...WHOLE_VIEW, retryCount: 1, countedForMs: 0 }, 0, [])).to.equal(Infinity)
  })
})
