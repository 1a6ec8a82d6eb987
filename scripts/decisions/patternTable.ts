import { admitUntilFull } from '../../packages/decisions/src/admission/admitUntilFull.js'
import { accountNothing, pickFirstCome } from '../../packages/decisions/src/queueing/pickFirstCome.js'
import { allAhead } from '../../packages/decisions/src/queueing/estimateAhead.js'
import { limitNothing } from '../../packages/decisions/src/queueing/limitLong.js'
import { orderByArrival } from '../../packages/decisions/src/loading/orderByArrival.js'
import { shedNothing } from '../../packages/decisions/src/queueing/shedHopeless.js'
import { retryAfterFixed } from '../../packages/decisions/src/retries/retryAfterFixed.js'
import { chooseFirstReady } from '../../packages/decisions/src/routing/chooseFirstReady.js'
import { chooseLeastCost, makeChooseLeastCost } from '../../packages/decisions/src/routing/chooseLeastCost.js'
import { neverMove } from '../../packages/decisions/src/routing/moveStream.js'
import { choosePrefixHolder } from '../../packages/decisions/src/routing/choosePrefixHolder.js'
import * as patterns from '../../packages/decisions/src/simulation/patterns.js'
import { baselinePolicies, figmountPolicies } from '../../packages/decisions/src/simulation/policies.js'
import { simulate } from '../../packages/decisions/src/simulation/simulate.js'

import type { ChooseBackend, RoutingCandidate } from '../../packages/decisions/src/routing/types.js'
import type { Measures } from '../../packages/decisions/src/simulation/measure.js'
import type { Policies, Scenario } from '../../packages/decisions/src/simulation/types.js'

interface NamedPolicies {
  readonly name: string
  readonly policies: Policies
}

const ALL_CANDIDATES = 16

const but = (name: string, change: Partial<Policies>): NamedPolicies => ({ name, policies: { ...figmountPolicies, ...change } })

const both: readonly NamedPolicies[] = [
  { name: 'baseline', policies: baselinePolicies },
  { name: 'figmount', policies: figmountPolicies }
]
const GROUP_COUNT = 4

const waitOf = (candidate: RoutingCandidate): number => candidate.readyInMs + (candidate.queuedSeconds + candidate.unreportedSeconds) * 1_000

/** The least loaded member of each group, as a balancer sees it that hears group minima only. */
const groupMinima = (candidates: readonly RoutingCandidate[]): readonly RoutingCandidate[] => {
  const least = new Map<number, RoutingCandidate>()
  for (const candidate of candidates) {
    const group = candidate.slotIndex % GROUP_COUNT
    const known = least.get(group)
    if (!known || waitOf(candidate) < waitOf(known)) least.set(group, candidate)
  }
  return [...least.values()]
}

const overMinima = (choose: ChooseBackend): ChooseBackend => (request, candidates, random) => choose(request, groupMinima(candidates), random)

const leastOfMinima = but('but: least of four group minima', { chooseBackend: overMinima(makeChooseLeastCost(GROUP_COUNT)) })
const twoOfMinima = but('but: two choices of four group minima', { chooseBackend: overMinima(chooseLeastCost) })
const leastOfAll = but('but: least of all servers', { chooseBackend: makeChooseLeastCost(ALL_CANDIDATES) })
const threeChoices = but('but: three choices', { chooseBackend: makeChooseLeastCost(3) })
const firstReady = but('but: baseline routing', { chooseBackend: chooseFirstReady })
const alwaysPrefix = but('but: always the prefix holder', { chooseBackend: choosePrefixHolder })
const inOrder = but('but: queue in order', { pickNext: pickFirstCome, accountServed: accountNothing, estimateAhead: allAhead, limitLong: limitNothing })
const noLimit = but('but: no limit on long ones', { limitLong: limitNothing })
const untilFull = but('but: admit until full', { admit: admitUntilFull })
const noShedding = but('but: wait to the deadline', { shedWaiting: shedNothing })
const blind = but('but: queues not by priority', { seesPriorities: false })
const noMove = but('but: streams stay', { chooseMove: neverMove })
const fixedRetry = but('but: fixed come-back time', { chooseRetryAfter: retryAfterFixed })
const arrivalLoads = but('but: loads in order', { orderLoads: orderByArrival })

interface Case {
  readonly scenario: Scenario
  readonly policies: readonly NamedPolicies[]
  readonly observed?: string
}

const cases = (): readonly Case[] => [
  { scenario: patterns.burst(), policies: [...both, untilFull, inOrder, fixedRetry] },
  { scenario: patterns.hotCaller(), policies: [...both, inOrder, untilFull], observed: 'the others' },
  { scenario: patterns.hotPrefix(), policies: [...both, firstReady, alwaysPrefix] },
  { scenario: patterns.slowServer(), policies: [...both, firstReady, noMove] },
  { scenario: patterns.manyRouters(), policies: [...both, threeChoices, leastOfAll, leastOfMinima, twoOfMinima] },
  { scenario: patterns.longAmongShort(), policies: [...both, noLimit, inOrder], observed: 'short' },
  { scenario: patterns.urgentReview(), policies: [...both, inOrder], observed: 'urgent' },
  { scenario: patterns.overload(1.5), policies: [...both, untilFull, inOrder], observed: 'urgent' },
  { scenario: patterns.overload(3), policies: [...both, untilFull, noShedding, blind], observed: 'urgent' },
  { scenario: patterns.overload(10), policies: both, observed: 'urgent' },
  { scenario: patterns.outage(), policies: [...both, untilFull, noShedding, fixedRetry] },
  { scenario: patterns.coldBurst(), policies: [...both, firstReady], observed: 'cold' },
  { scenario: patterns.wakeUp(), policies: [...both, arrivalLoads] }
]

const seconds = (ms: number): string => (ms / 1_000).toFixed(1)

const row = (pattern: string, policy: string, who: string, measures: Measures): string => [
  '', pattern, policy, who, `${measures.servedCount} of ${measures.requestCount}`, measures.goodputPerSecond.toFixed(2),
  seconds(measures.p50FirstTokenMs), seconds(measures.p99FirstTokenMs), seconds(measures.p999FirstTokenMs),
  measures.missedCount, measures.refusalCount, seconds(measures.meanLostMs), measures.earlyRefusalShare.toFixed(2), measures.trueRefusalShare.toFixed(2), measures.attemptCount,
  measures.fairness.toFixed(3), measures.coldStartCount, seconds(measures.lastSlowArrivalMs), ''
].join(' | ').trim()

const HEAD = [
  '| pattern | policy | whose | served | goodput /s | p50 s | p99 s | p99.9 s | missed | refused | lost s | early | true | attempts | fairness | cold starts | last slow s |',
  '|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|'
]

/** What a chart needs of the outage pattern. */
export interface OutageRun {
  readonly policy: string
  readonly servedPerBucket: readonly number[]
}

/** Runs every pattern with its policies; one table row for each, and one more for the callers that matter most in it. */
export const makePatternTable = (): { readonly lines: readonly string[], readonly outage: readonly OutageRun[] } => {
  const lines = [...HEAD]
  const outage: OutageRun[] = []
  for (const { scenario, policies, observed } of cases()) {
    for (const { name, policies: functions } of policies) {
      const result = simulate(scenario, functions)
      lines.push(row(scenario.name, name, 'all', result.all))
      if (observed) lines.push(row(scenario.name, name, observed, result.observed))
      if (scenario.name === 'outage') outage.push({ policy: name, servedPerBucket: result.all.servedPerBucket })
    }
  }
  return { lines, outage }
}
