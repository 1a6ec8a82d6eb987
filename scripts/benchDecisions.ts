/** Measures the wall-clock time of each decision at growing input sizes and prints one JSON object per line. */
import {
  accountDecayed, admitByDeadline, candidatesFromDigests, chooseFirstReady, chooseLeastCost, digestGroup, evictLeastLoss, fairAhead, keepByHistory, noFairness,
  orderByNeed, pickFairShare, spreadByDrainTime
} from '../packages/decisions/src/index.js'
import { makeRandom } from '../packages/decisions/src/simulation/makeRandom.js'

import type { CallerName, InstanceName, LogOffset, ModelId } from '@figmount/base'
import type { ResidentView, RoutingCandidate, WaitingLoad, WaitingRequest } from '../packages/decisions/src/index.js'

const SIZES = [10, 100, 1_000, 7_200] as const
const GROUPS = 8
/** Approximate duration of one round of a measurement; the median of all rounds is reported. */
const ROUND_MS = 40
const ROUNDS = 9
const MODELS_AND_ADAPTERS = 30_000

const random = makeRandom(7)

const makeCandidate = (index: number): RoutingCandidate => ({
  instance: `agent-${index}` as InstanceName,
  slotIndex: index,
  fence: 1 as LogOffset,
  state: index % 3 === 0 ? 'ready' : 'memory',
  readyInMs: index % 3 === 0 ? 0 : 2_000,
  queuedSeconds: random() * 5,
  unreportedSeconds: random(),
  reportAgeMs: random() * 1_000,
  batchSize: 8,
  tokenIntervalMs: 25 + random() * 10,
  hasAdapter: random() < 0.3,
  hasPrefix: random() < 0.1,
  sameDataCentre: index % GROUPS === 0
})

const makeWaiting = (index: number): WaitingRequest => ({
  id: `r-${index}`,
  model: `s/m-${index % 40}` as ModelId,
  adapter: '',
  caller: `c-${index % 50}` as CallerName,
  tenant: `t-${index % 4}`,
  share: 1,
  priority: index % 10,
  expectedTokens: 100,
  arrivedAtMs: index,
  deadlineAtMs: 1e9
})

const makeResident = (index: number): ResidentView => ({
  model: `s/m-${index >> 3}` as ModelId,
  adapter: index % 8 === 0 ? '' : `a-${index}`,
  memoryMb: index % 8 === 0 ? 20_000 : 300,
  runningCount: 0,
  queuedCount: 0,
  idleMs: random() * 1e6,
  reloadMs: 10_000,
  priority: 5,
  requestsPerHour: random() * 10,
  pinned: false
})

const makeLoad = (index: number): WaitingLoad => ({
  model: `s/m-${index}` as ModelId,
  waitingCount: 1 + index % 9,
  highestPriority: 5,
  earliestDeadlineMs: 1e9,
  askedAtMs: 0,
  checkpointMb: 20_000,
  tier: 'remote'
})

const makeList = <T>(count: number, make: (index: number) => T): readonly T[] => Array.from({ length: count }, (_, index) => make(index))

const medianMicroseconds = (decide: () => unknown): number => {
  const rounds: number[] = []
  for (let round = 0; round < ROUNDS; round++) {
    const startedMs = performance.now()
    let count = 0
    while (performance.now() - startedMs < ROUND_MS) {
      decide()
      count += 1
    }
    rounds.push((performance.now() - startedMs) / count * 1_000)
  }
  return rounds.sort((a, b) => a - b)[Math.floor(ROUNDS / 2)] ?? 0
}

const report = (decision: string, sizeName: string, size: number, decide: () => unknown): void => {
  const durationUs = medianMicroseconds(decide)
  console.log(JSON.stringify({ decision, [sizeName]: size, microseconds: Math.round(durationUs * 100) / 100 }))
}

const request = { remainingMs: 30_000, expectedTokens: 100, priority: 5, coldStartMs: 20_000 }

for (const size of SIZES) {
  const candidates = makeList(size, makeCandidate)
  const digests = makeList(GROUPS, group => digestGroup(`dc-${group}`, candidates.filter((_, index) => index % GROUPS === group)))
  report('routing, baseline over all', 'servers', size, () => chooseFirstReady(request, candidates, random))
  report('routing, least cost', 'servers', size, () => chooseLeastCost(request, candidates, random))
  report('routing, least cost over digests', 'servers', size, () => chooseLeastCost(request, candidatesFromDigests(digests, 'dc-0', random), random))
  report('digest of one group, once a report', 'servers', size, () => digestGroup('dc-0', candidates.slice(0, Math.ceil(size / GROUPS))))
}
for (const size of [10, 100, 1_000]) {
  const queue = makeList(size, makeWaiting)
  let fairness = noFairness
  for (const waiting of queue) fairness = accountDecayed(fairness, waiting, 100, 10)
  report('order of service', 'waiting', size, () => pickFairShare(queue, fairness, 10))
  report('work ahead', 'waiting', size, () => fairAhead(queue, queue[0]!, fairness, 10))
  report('accounting', 'waiting', size, () => accountDecayed(fairness, queue[0]!, 100, 10))
}
for (const size of [8, 64, 512]) {
  const residents = makeList(size, makeResident)
  report('eviction', 'residents', size, () => evictLeastLoss(residents, 30_000))
}
for (const size of [4, 40, 400]) {
  const loads = makeList(size, makeLoad)
  report('order of loads', 'loads', size, () => orderByNeed(loads, 1_000))
}
const gaps = makeList(32, () => random() * 3_600_000)
const idle = { idleMs: 1_000, pastGapsMs: gaps, reloadMs: 20_000, memoryShare: 0.3, idleCostWeight: 0.5 }
report('keep-alive', 'gaps', gaps.length, () => keepByHistory(idle))
const idleFleet = makeList(MODELS_AND_ADAPTERS, () => ({ ...idle, idleMs: random() * 1e6 }))
let next = 0
report('keep-alive, one of many', 'modelsAndAdapters', MODELS_AND_ADAPTERS, () => keepByHistory(idleFleet[next++ % MODELS_AND_ADAPTERS]!))
const admission = { remainingMs: 30_000, expectedTokens: 100, priority: 5, readyInMs: 0, secondsAhead: 3, tokenIntervalMs: 30, queuedCount: 20, maxQueuedCount: 200 }
report('admission', 'views', 1, () => admitByDeadline(admission, random))
report('come-back time', 'views', 1, () => spreadByDrainTime({ estimatedWaitMs: 100, recentRefusals: 50, servedPerSecond: 10, resendCount: 2 }, random))
