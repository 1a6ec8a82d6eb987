import { expect } from 'chai'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

import { chooseLeastCost } from './chooseLeastCost.js'
import { sampleIndices } from './sampleIndices.js'
import { candidatesFromDigests, digestGroup } from './summarizeGroups.js'

import type { InstanceName, LogOffset } from '@figmount/base'
import type { RoutingCandidate, RoutingRequest } from './types.js'

const makeRandom = (seed: number): () => number => {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

const candidate = (name: string, overrides: Partial<RoutingCandidate> = {}): RoutingCandidate => ({
  instance: name as InstanceName,
  slotIndex: 0,
  fence: 1 as LogOffset,
  state: 'ready',
  readyInMs: 0,
  queuedSeconds: 0,
  unreportedSeconds: 0,
  reportAgeMs: 0,
  batchSize: 0,
  tokenIntervalMs: 30,
  hasAdapter: true,
  hasPrefix: false,
  sameDataCentre: true,
  ...overrides
})

const request: RoutingRequest = { remainingMs: 120_000, expectedTokens: 100, priority: 5, coldStartMs: 20_000 }

const chosenNames = (candidates: readonly RoutingCandidate[], runs = 200, routed = request): readonly string[] => {
  const random = makeRandom(1)
  return Array.from({ length: runs }, () => {
    const choice = chooseLeastCost(routed, candidates, random)
    return choice.kind === 'send' ? choice.candidate.instance : 'none'
  })
}

describe('choice of backend server', () => {
  it('prefers a ready model to a loading one, and that to a cached and a remote one', () => {
    const remote = candidate('remote', { state: 'cold', readyInMs: 20_000 })
    const disk = candidate('disk', { state: 'disk', readyInMs: 6_000 })
    const loading = candidate('loading', { state: 'loading', readyInMs: 3_000 })
    const ready = candidate('ready')
    expect(new Set(chosenNames([remote, disk, loading, ready]))).to.deep.equal(new Set(['ready']))
    expect(new Set(chosenNames([remote, disk, loading]))).to.deep.equal(new Set(['loading']))
    expect(new Set(chosenNames([remote, disk]))).to.deep.equal(new Set(['disk']))
  })

  it('starts a replica only when the queue costs more than the cold start', () => {
    const cold = candidate('cold', { state: 'disk', readyInMs: 6_000 })
    expect(new Set(chosenNames([cold, candidate('warm', { queuedSeconds: 8 })]))).to.deep.equal(new Set(['warm']))
    expect(new Set(chosenNames([cold, candidate('warm', { queuedSeconds: 30 })]))).to.deep.equal(new Set(['cold']))
  })

  it('makes all routers choose the same cold slot', () => {
    const cold = ['a', 'b', 'c'].map(name => candidate(name, { state: 'cold', readyInMs: 20_000 }))
    expect(new Set(chosenNames(cold)).size).to.equal(1)
  })

  it('spreads requests over equal servers', () => {
    const names = chosenNames(['a', 'b', 'c', 'd'].map(name => candidate(name)))
    for (const name of ['a', 'b', 'c', 'd']) expect(names.filter(one => one === name).length).to.be.within(30, 70)
  })

  it('follows a cached prefix only while it saves more than the queue costs', () => {
    const others = ['a', 'b', 'c'].map(name => candidate(name))
    const requestWithPrefix = { ...request, prefixSavingMs: 800 }
    expect(new Set(chosenNames([...others, candidate('holder', { hasPrefix: true, queuedSeconds: 0.5 })], 50, requestWithPrefix)))
      .to.deep.equal(new Set(['holder']))
    expect(chosenNames([...others, candidate('holder', { hasPrefix: true, queuedSeconds: 2 })], 50, requestWithPrefix))
      .not.to.include('holder')
  })

  it('tries a slow server again when its measurement is old, one request at a time', () => {
    const fast = ['a', 'b', 'c'].map(name => candidate(name, { queuedSeconds: 2 }))
    const slow = candidate('slow', { tokenIntervalMs: 300 })
    expect(chosenNames([...fast, slow])).not.to.include('slow')
    const slowWithOldMeasurement = { ...slow, tokenIntervalAgeMs: 40_000 }
    expect(chosenNames([...fast, slowWithOldMeasurement])).to.include('slow')
    expect(chosenNames([...fast, { ...slowWithOldMeasurement, unreportedSeconds: 0.1 }])).not.to.include('slow')
  })

  // A model that is loaded nowhere is expected to load more slowly than its callers can wait. If routers refused its requests,
  // no agent would receive one, and the model would never be loaded.
  it('sends a request to a cold slot even if that becomes ready too late, so that its load starts', () => {
    const cold = candidate('cold', { state: 'cold', readyInMs: 200_000 })
    expect(chosenNames([cold], 3)).to.deep.equal(['cold', 'cold', 'cold'])
    const loading = candidate('loading', { state: 'loading', readyInMs: 200_000 })
    expect(new Set(chosenNames([loading, cold]))).to.deep.equal(new Set(['none']))
  })

  it('refuses only when no server becomes ready in time, and leaves queue limits to the agent', () => {
    const late = candidate('late', { state: 'loading', readyInMs: 200_000 })
    expect(new Set(chosenNames([late, late, late]))).to.deep.equal(new Set(['none']))
    const others = Array.from({ length: 8 }, () => late)
    expect(chosenNames([...others, candidate('free')], 50)).not.to.include('none')
    expect(chosenNames([candidate('queued', { queuedSeconds: 500 })], 5)).not.to.include('none')
    expect(new Set(chosenNames([candidate('leaving', { state: 'unloading' })], 5))).to.deep.equal(new Set(['none']))
  })

  it('draws distinct indices', () => {
    const random = makeRandom(2)
    for (let run = 0; run < 200; run++) {
      const drawn = sampleIndices(20, 5, random)
      expect(new Set(drawn).size).to.equal(5)
      expect(Math.max(...drawn)).to.be.below(20)
    }
  })

  it('considers a bounded number of servers regardless of the number of groups', () => {
    const digests = Array.from({ length: 60 }, (_, group) =>
      digestGroup(`dc-${group}`, Array.from({ length: 120 }, (_, index) => candidate(`${group}-${index}`, { queuedSeconds: index }))))
    const candidates = candidatesFromDigests(digests, 'dc-7', makeRandom(3))
    expect(candidates.length).to.equal(24)
    expect(candidates.map(one => one.instance)).to.include('7-0')
  })
})
