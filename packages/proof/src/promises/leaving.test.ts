import { createTimerService, sleep } from '@figmount/base'
import { StandinEvent } from '@figmount/standin'
import { expect } from 'chai'

import { OPERATOR_KEY } from '../rig/createSite.js'
import { operatorAt } from '../rig/operate.js'
import { modelService } from '../rig/sitePlan.js'
import { expectAnswered, MODEL, SERVICE, startCaller, startSmallSite } from '../rig/smallSite.js'

import type { Site } from '../rig/createSite.js'

const timers = createTimerService()

/** The guarantee allows "a few seconds" until a leaving backend server gets no new work. */
const GRACE_MS = 4_000
const OBSERVATION_MS = 2_000

const TWO_REPLICAS = [modelService(SERVICE, [{ name: MODEL, maxReplicas: 2, minReplicas: 2 }])]

describe('a leaving backend server gets no new work', () => {
  let site: Site
  afterEach(async () => await site.close())

  /** Makes a1 leave while callers keep sending; returns the delays of runs that began on a1 after the grace period. */
  const measureLateRuns = async (leave: () => Promise<void>): Promise<readonly number[]> => {
    const callers = ['c1', 'c2', 'c3', 'c4'].map(name => startCaller(site, name))
    await site.rig.events.waitFor(event => event.number === StandinEvent.generateStarted.number && event.instance === 'backend-a1', 'work for a1')
    await leave()
    const leftAtMs = timers.unixMs()
    await sleep(timers, GRACE_MS + OBSERVATION_MS)
    expectAnswered((await Promise.all(callers.map(async caller => await caller.stop()))).flat())
    return site.rig.events.all()
      .filter(event => event.number === StandinEvent.generateStarted.number && event.instance === 'backend-a1')
      .map(event => event.atUnixMs - leftAtMs)
      .filter(lateMs => lateMs > GRACE_MS)
  }

  // The platform marks the instance as leaving in its list; the agent gets no other notice.
  it('when the instance list marks it as leaving', async () => {
    site = await startSmallSite('leaving-list', { items: TWO_REPLICAS })
    expect(await measureLateRuns(async () => { await site.list.command({ action: 'leaving', name: 'a1' }) })).to.deep.equal([])
  })

  // The agent is stopped at once while the list lags by 30 s, so routers depend on the agent's own notice that it leaves.
  it('when it is stopped and the list lags', async () => {
    site = await startSmallSite('leaving-stop', { items: TWO_REPLICAS })
    await site.list.command({ action: 'lag', lagMs: 30_000 })
    expect(await measureLateRuns(async () => { expect((await site.agent('a1').stop()).code).to.equal(0) })).to.deep.equal([])
  })

  // An operator drains it while the log is slow.
  it('when an operator drains it', async () => {
    site = await startSmallSite('leaving-drain', { items: TWO_REPLICAS })
    await site.log.command({ action: 'slow', delayMs: 300 })
    expect(await measureLateRuns(async () => {
      const answer = await operatorAt(site.router('r1').address, OPERATOR_KEY).drain({ instance: 'a1', undo: false })
      expect(answer.accepted).to.equal(true)
    })).to.deep.equal([])
  })
})
