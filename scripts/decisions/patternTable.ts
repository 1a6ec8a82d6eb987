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

const makeVariant = (name: string, change: Partial<Policies>): NamedPolicies => ({ name, policies: { ...figmountPolicies, ...change } })

const basePolicies: readonly NamedPolicies[] = [
  { name: 'baseline', policies: baselinePolicies },
  { name: 'figmount', policies: figmountPolicies }
]
const GROUP_COUNT = 4

const estimateWaitMs = (candidate: RoutingCandidate): number => candidate.readyInMs + (candidate.queuedSeconds + candidate.unreportedSeconds) * 1_000

/** The least loaded member of each group: the view of a balancer that receives only the minimum per group. */
const groupMinima = (candidates: readonly RoutingCandidate[]): readonly RoutingCandidate[] => {
  const least = new Map<number, RoutingCandidate>()
  for (const candidate of candidates) {
    const group = candidate.slotIndex % GROUP_COUNT
    const best = least.get(group)
    if (!best || estimateWaitMs(candidate) < estimateWaitMs(best)) least.set(group, candidate)
  }
  return [...least.values()]
}

const routeOverGroupMinima = (choose: ChooseBackend): ChooseBackend => (request, candidates, random) => choose(request, groupMinima(candidates), random)

const leastOfMinima = makeVariant('but: least of four group minima', { chooseBackend: routeOverGroupMinima(makeChooseLeastCost(GROUP_COUNT)) })
const twoOfMinima = makeVariant('but: two choices of four group minima', { chooseBackend: routeOverGroupMinima(chooseLeastCost) })
const leastOfAll = makeVariant('but: least of all servers', { chooseBackend: makeChooseLeastCost(ALL_CANDIDATES) })
const threeChoices = makeVariant('but: three choices', { chooseBackend: makeChooseLeastCost(3) })
const firstReady = makeVariant('but: baseline routing', { chooseBackend: chooseFirstReady })
const alwaysPrefix = makeVariant('but: always the prefix holder', { chooseBackend: choosePrefixHolder })
const inOrder = makeVariant('but: queue in order', { pickNext: pickFirstCome, accountServed: accountNothing, estimateAhead: allAhead, limitLong: limitNothing })
const noLimit = makeVariant('but: no limit on long ones', { limitLong: limitNothing })
const untilFull = makeVariant('but: admit until full', { admit: admitUntilFull })
const noShedding = makeVariant('but: wait to the deadline', { shedWaiting: shedNothing })
const ignorePriorities = makeVariant('but: queues not by priority', { seesPriorities: false })
const noMove = makeVariant('but: streams stay', { chooseMove: neverMove })
const fixedRetry = makeVariant('but: fixed come-back time', { chooseRetryAfter: retryAfterFixed })
const arrivalLoads = makeVariant('but: loads in order', { orderLoads: orderByArrival })

interface Case {
  readonly scenario: Scenario
  readonly policies: readonly NamedPolicies[]
  readonly observed?: string
}

const makeCases = (): readonly Case[] => [
  { scenario: patterns.burst(), policies: [...basePolicies, untilFull, inOrder, fixedRetry] },
  { scenario: patterns.hotCaller(), policies: [...basePolicies, inOrder, untilFull], observed: 'the others' },
  { scenario: patterns.hotPrefix(), policies: [...basePolicies, firstReady, alwaysPrefix] },
  { scenario: patterns.slowServer(), policies: [...basePolicies, firstReady, noMove] },
  { scenario: patterns.manyRouters(), policies: [...basePolicies, threeChoices, leastOfAll, leastOfMinima, twoOfMinima] },
  { scenario: patterns.longAmongShort(), policies: [...basePolicies, noLimit, inOrder], observed: 'short' },
  { scenario: patterns.urgentReview(), policies: [...basePolicies, inOrder], observed: 'urgent' },
  { scenario: patterns.overload(1.5), policies: [...basePolicies, untilFull, inOrder], observed: 'urgent' },
  { scenario: patterns.overload(3), policies: [...basePolicies, untilFull, noShedding, ignorePriorities], observed: 'urgent' },
  { scenario: patterns.overload(10), policies: basePolicies, observed: 'urgent' },
  { scenario: patterns.outage(), policies: [...basePolicies, untilFull, noShedding, fixedRetry] },
  { scenario: patterns.coldBurst(), policies: [...basePolicies, firstReady], observed: 'cold' },
  { scenario: patterns.manyColdModels(), policies: [...basePolicies, arrivalLoads] }
]

const seconds = (ms: number): string => (ms / 1_000).toFixed(1)

const renderRow = (pattern: string, policy: string, group: string, measures: Measures): string => [
  '', pattern, policy, group, `${measures.servedCount} of ${measures.requestCount}`, measures.goodputPerSecond.toFixed(2),
  seconds(measures.p50FirstTokenMs), seconds(measures.p99FirstTokenMs), seconds(measures.p999FirstTokenMs),
  measures.missedCount, measures.refusalCount, seconds(measures.meanLostMs), measures.earlyRefusalShare.toFixed(2), measures.trueRefusalShare.toFixed(2), measures.attemptCount,
  measures.fairness.toFixed(3), measures.coldStartCount, seconds(measures.lastSlowArrivalMs), ''
].join(' | ').trim()

const TABLE_HEAD = [
  '| pattern | policy | whose | served | goodput /s | p50 s | p99 s | p99.9 s | missed | refused | lost s | early | true | attempts | fairness | cold starts | last slow s |',
  '|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|'
]

/** Data for the chart of the outage pattern. */
export interface OutageRun {
  readonly policy: string
  readonly servedPerBucket: readonly number[]
}

/** Simulates every pattern with its policies: one table row each, and one for the observed group of callers if there is one. */
export const makePatternTable = (): { readonly lines: readonly string[], readonly outage: readonly OutageRun[] } => {
  const lines = [...TABLE_HEAD]
  const outage: OutageRun[] = []
  for (const { scenario, policies, observed } of makeCases()) {
    for (const { name, policies: functions } of policies) {
      const result = simulate(scenario, functions)
      lines.push(renderRow(scenario.name, name, 'all', result.all))
      if (observed) lines.push(renderRow(scenario.name, name, observed, result.observed))
      if (scenario.name === 'outage') outage.push({ policy: name, servedPerBucket: result.all.servedPerBucket })
    }
  }
  return { lines, outage }
}
