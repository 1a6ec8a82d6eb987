import { expect } from 'chai'
import { createEventLog, createVirtualTimers } from '@figmount/base'
import { makeRandom } from '@figmount/decisions'

import { createLimiters } from '../../../sidecar/src/limits/createLimiters.js'
import { createQuotas } from './createQuotas.js'

import type { InstanceName, VirtualTimers } from '@figmount/base'
import type { Organisation, RouterMessage } from '@figmount/fleet'
import type { Limiters } from '../../../sidecar/src/limits/createLimiters.js'
import type { Quotas } from './createQuotas.js'

const LIMIT = { unit: 'tokens', unitsPerS: 29_000, burstUnits: 29_000, plainUnits: 200 } as const
const ACME: Organisation = { name: 'acme', priority: undefined, limit: LIMIT }

/** Units that may be admitted beyond the limit in a window of `WINDOW_MS`: the fraction `OVERAGE` of the limit, and `SLACK_UNITS`. */
const OVERAGE = 0.1
const SLACK_UNITS = 110_000
const WINDOW_MS = 8_000

const ROUTER_COUNT = 12
const AGENT_COUNT = 6
const REQUEST_UNITS = [200, 1_100, 9_200, 9_200]
/** Time for the system to start before the first faults and requests. */
const CALM_MS = 5_000
/** Time after which one end of a silent link detects that it is broken. */
const SILENCE_MS = 3_000

type Random = () => number

interface Agent {
  limiters: Limiters
  /** Messages that are delayed while the agent is paused. */
  held: Array<() => void>
  isFrozen: boolean
  /** Number of restarts of the agent's process. */
  life: number
}

interface AdmittedRequest {
  readonly atMs: number
  readonly units: number
}

const makeAgent = (timers: VirtualTimers, isFirstStart: boolean, life: number): Agent => ({
  limiters: createLimiters({ timers, limitOf: () => LIMIT, isFirstStart }), held: [], isFrozen: false, life
})

/** Routers and agents with one overloaded organisation; agents die, pause or are cut off from some routers. */
const simulate = async (seed: number, faultPeriodMs: number, durationMs: number): Promise<readonly AdmittedRequest[]> => {
  const random: Random = makeRandom(seed)
  const timers = createVirtualTimers()
  const agents = new Map(Array.from({ length: AGENT_COUNT }, (_, index) => [`a${index}:1`, makeAgent(timers, true, 0)]))
  const links = Array.from({ length: ROUTER_COUNT }, () => new Set(agents.keys()))
  const admitted: AdmittedRequest[] = []
  const routers: Quotas[] = []

  const linkDelayMs = (): number => 1 + random() * 4

  const deliver = (router: number, address: string, message: RouterMessage): void => {
    const agent = agents.get(address)
    if (!agent || !links[router]?.has(address)) return
    const { life } = agent
    timers.after(linkDelayMs(), () => {
      const handle = (): void => {
        if (agents.get(address)?.life !== life) return
        if (message.type === 'limiterChosen') agent.limiters.choose(`r${router}`, message)
        if (message.type === 'unitsReturned') agent.limiters.returnUnits(`r${router}`, message)
        if (message.type !== 'unitsAsked') return
        const answer = agent.limiters.ask(`r${router}`, message)
        timers.after(linkDelayMs(), () => { if (links[router]?.has(address)) routers[router]?.takeAnswer(address, answer) })
      }
      if (agent.isFrozen) agent.held.push(handle)
      else handle()
    })
  }

  for (let router = 0; router < ROUTER_COUNT; router++) {
    const own = links[router] ?? new Set<string>()
    routers.push(createQuotas({
      timers,
      events: createEventLog({ instance: `r${router}` as InstanceName, role: 'router', timers }),
      organisations: () => ({ all: [ACME], byKeyDigest: new Map() }),
      routerCount: () => ROUTER_COUNT,
      reachableAddresses: () => [...own],
      send: (address, message) => { deliver(router, address, message) }
    }))
  }

  const unlink = (router: number, address: string): void => {
    links[router]?.delete(address)
    routers[router]?.noteLost(address)
  }

  const kill = (address: string): void => {
    const agent = agents.get(address)
    agents.set(address, makeAgent(timers, false, (agent?.life ?? 0) + 1))
    for (let router = 0; router < ROUTER_COUNT; router++) unlink(router, address)
    for (let router = 0; router < ROUTER_COUNT; router++) timers.after(300 + random() * 1_000, () => { links[router]?.add(address) })
  }

  const freeze = (address: string): void => {
    const agent = agents.get(address)
    if (!agent) return
    agent.isFrozen = true
    timers.after(500 + random() * 2_000, () => {
      agent.isFrozen = false
      for (const handle of agent.held.splice(0)) handle()
    })
  }

  const cut = (address: string): void => {
    const agent = agents.get(address)
    for (let router = 0; router < ROUTER_COUNT; router++) {
      if (random() < 0.6) continue
      // The router detects the cut first, the agent up to SILENCE_MS later.
      timers.after(random() * SILENCE_MS, () => { unlink(router, address) })
      timers.after(SILENCE_MS, () => { agent?.limiters.dropRouter(`r${router}`) })
      timers.after(SILENCE_MS + 1_000 + random() * 3_000, () => { links[router]?.add(address) })
    }
  }

  const addresses = [...agents.keys()]
  const draw = <T>(of: readonly T[]): T | undefined => of[Math.floor(random() * of.length)]
  timers.after(CALM_MS, () => {
    timers.every(faultPeriodMs, () => { (draw([kill, freeze, cut]) ?? kill)(draw(addresses) ?? '') })
  })

  // Requests over four times the limit.
  const requestOnce = async (): Promise<void> => {
    const units = draw(REQUEST_UNITS) ?? 0
    const admission = await routers[Math.floor(random() * ROUTER_COUNT)]?.admit(ACME, units, 30)
    if (admission?.isAdmitted) admitted.push({ atMs: timers.nowMs(), units })
  }
  const admissions: Array<Promise<void>> = []
  // No requests in the last two seconds, so that all are answered.
  for (let passedMs = 0; passedMs < durationMs; passedMs += 5) {
    timers.advance(5)
    if (passedMs >= CALM_MS && passedMs < durationMs - 2_000 && passedMs % 40 === 0) admissions.push(requestOnce())
    for (let turn = 0; turn < 6; turn++) await Promise.resolve()
  }
  await Promise.all(admissions)
  for (const router of routers) router.stop()
  return admitted
}

const maxUnitsInWindow = (passed: readonly AdmittedRequest[]): number => {
  let most = 0
  let sum = 0
  let first = 0
  for (const { atMs, units } of passed) {
    sum += units
    for (; (passed[first]?.atMs ?? 0) < atMs - WINDOW_MS; first++) sum -= passed[first]?.units ?? 0
    most = Math.max(most, sum)
  }
  return most
}

const ALLOWED_UNITS = (LIMIT.unitsPerS * WINDOW_MS / 1_000 + LIMIT.burstUnits) * (1 + OVERAGE) + SLACK_UNITS

describe('an organisation that exceeds its limit at many routers', () => {
  it('gets exactly its limit without faults', async () => {
    const passed = await simulate(1, 1_000_000, 20_000)
    expect(maxUnitsInWindow(passed)).to.be.within(0.95 * LIMIT.unitsPerS * 8, LIMIT.unitsPerS * 8 + LIMIT.burstUnits + 20_000)
  })

  it('exceeds its limit by no more than the allowed units, whichever agents die, pause or are cut off', async () => {
    // Guards against two limiters that both grant the same part of a limit.
    for (let seed = 1; seed <= 12; seed++) {
      const passed = await simulate(seed, 700, 25_000)
      expect(maxUnitsInWindow(passed), `seed ${seed}`).to.be.at.most(ALLOWED_UNITS)
      const total = passed.reduce((sum, { units }) => sum + units, 0)
      expect(total, `seed ${seed}`).to.be.above(0.4 * LIMIT.unitsPerS * 18)
    }
  }).timeout(60_000)
})
