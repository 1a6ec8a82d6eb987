import { expect } from 'chai'

import { planArrivals } from './planArrivals.js'

import type { CallerName } from '@figmount/base'
import type { Experiment, TrafficPlan } from '../experiment/types.js'

const traffic: TrafficPlan = {
  name: 't',
  caller: 'a' as CallerName,
  service: 's',
  models: ['hot', 'warm', 'cold'],
  zipfExponent: 2,
  adapters: ['x'],
  arrivals: 'poisson',
  ratePerSecond: 100,
  burstSize: 5,
  burstEveryMs: 400,
  fromMs: 0,
  untilMs: 10_000,
  repeatable: true,
  promptLength: 30,
  prefixCount: 2,
  maxTokens: 4,
  deadlineMs: 100,
  patienceMs: 100
}

const experiment = (changes: Partial<TrafficPlan>, seed = 1): Experiment => ({
  name: 'e', seed, durationMs: 10_000, warmUpMs: 0, routers: [], callers: [], faults: [], traffic: [{ ...traffic, ...changes }]
})

describe('planned arrivals', () => {
  it('are the same for the same seed and differ for another', () => {
    expect(planArrivals(experiment({}))).to.deep.equal(planArrivals(experiment({})))
    expect(planArrivals(experiment({}))).not.to.deep.equal(planArrivals(experiment({}, 2)))
  })

  it('match the rate and prefer the first models', () => {
    const planned = planArrivals(experiment({}))
    expect(planned.length).to.be.within(900, 1100)
    const hot = planned.filter(request => request.model === 'hot').length
    expect(hot / planned.length).to.be.within(0.65, 0.82)
  })

  it('arrive at once in bursts', () => {
    const times = planArrivals(experiment({ arrivals: 'burst', untilMs: 1000 })).map(request => request.atMs)
    expect(times).to.deep.equal([...Array(5).fill(0), ...Array(5).fill(400), ...Array(5).fill(800)])
  })
})
