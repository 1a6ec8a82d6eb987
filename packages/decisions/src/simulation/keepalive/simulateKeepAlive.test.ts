import { expect } from 'chai'

import { carpatica, consortium } from './deployments.js'
import { byHistory, fixedTime, leastRecent, withHindsight, withoutPreload } from './keepPolicies.js'
import { simulateKeepAlive } from './simulateKeepAlive.js'

const MINUTE_MS = 60_000

describe('keep-alive on whole sites', () => {
  it('causes shorter waits than a fixed timeout of equal cost', () => {
    // With one timeout for models with very different gaps, callers that return shortly after it wait for a cold start, while
    // models that are not used again that day stay loaded as long.
    for (const deployment of [consortium(), carpatica()]) {
      const fixed = simulateKeepAlive(deployment, fixedTime(60 * MINUTE_MS))
      const ours = simulateKeepAlive(deployment, byHistory(0.5))
      expect(ours.idleHoursPerDay).to.be.below(fixed.idleHoursPerDay * 1.03)
      expect(ours.coldCount).to.be.below(fixed.coldCount)
      expect(ours.meanWaitMs).to.be.below(fixed.meanWaitMs / 2)
    }
  })

  it('costs less than a fixed timeout with as many cold starts', () => {
    const fixed = simulateKeepAlive(carpatica(), fixedTime(60 * MINUTE_MS))
    const ours = simulateKeepAlive(carpatica(), byHistory(0.7))
    expect(ours.coldCount).to.be.below(fixed.coldCount)
    expect(ours.idleHoursPerDay).to.be.below(fixed.idleHoursPerDay * 0.55)
  })

  it('trades idle time for cold starts by its weight, close to the optimum with hindsight', () => {
    const weights = [0, 0.2, 0.5, 0.7]
    const runs = weights.map(weight => simulateKeepAlive(consortium(), byHistory(weight)))
    for (const [index, run] of runs.entries()) {
      const next = runs[index + 1]
      if (next) expect(next.idleHoursPerDay).to.be.below(run.idleHoursPerDay)
      if (next) expect(next.coldCount).to.be.above(run.coldCount)
    }
    const best = simulateKeepAlive(consortium(), withHindsight(0.2))
    expect(runs[1]!.coldCount).to.be.within(best.coldCount, best.coldCount * 1.15)
  })

  it('keeps all models at weight 0, like least recently used', () => {
    const ours = simulateKeepAlive(consortium(), byHistory(0))
    const recent = simulateKeepAlive(consortium(), leastRecent())
    expect(ours.coldCount).to.be.below(recent.coldCount)
    expect(ours.idleHoursPerDay).to.be.below(recent.idleHoursPerDay * 1.03)
  })

  it('preloads scheduled models before their use', () => {
    // Without preloading, a scheduled job waits for a minute each hour: its model is unloaded in between and loaded only on
    // request, although the job ran at the same time on all days before.
    const without = simulateKeepAlive(carpatica(), withoutPreload(0.7))
    const ours = simulateKeepAlive(carpatica(), byHistory(0.7))
    expect(ours.meanWaitMs).to.be.below(without.meanWaitMs * 0.4)
    expect(ours.idleHoursPerDay).to.be.below(without.idleHoursPerDay * 1.25)
    expect(ours.loadCount).to.be.below(without.loadCount * 1.05)
  })
})
