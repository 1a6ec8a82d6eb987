import { StandinEvent } from '@figmount/standin'
import { expect } from 'chai'

import { sendMany, expectAnswered, expectWithinBounds, MODEL_ID, SERVICE, SLOW_STORE, startSmallSite, waitForLoad } from '../rig/smallSite.js'

import type { Site } from '../rig/createSite.js'

describe('no model has more replicas than it may', () => {
  let site: Site
  afterEach(async () => await site.close())

  // Forty callers request a cold model of at most one replica at both routers at once, and the load is slow.
  // Two replicas would load if each router chose a backend server independently.
  it('when a burst meets a slow load at both routers', async () => {
    site = await startSmallSite('replicas-burst', { weights: SLOW_STORE })
    expectAnswered(await sendMany(site, 40, 'burst'))
    expectWithinBounds(site)
    expect(site.rig.events.all().filter(event => event.number === StandinEvent.loadStarted.number)).to.have.length(1)
  })

  // The agent that ordered a load is killed during the load and restarts without its state, while the engine goes on
  // loading. Two replicas would load if the agent did not find that load, or if another agent loaded as well.
  it('when the agent is killed in the middle of the load', async () => {
    site = await startSmallSite('replicas-kill-agent', { weights: SLOW_STORE })
    const pending = sendMany(site, 10, 'kill')
    const holder = site.agent(await waitForLoad(site))
    await holder.kill()
    await holder.restart()
    expectAnswered(await pending)
    expectWithinBounds(site)
  })

  // The engine dies in the middle of a load and restarts empty. Its agent must order the load again, and no other
  // agent may load the model.
  it('when the engine is killed in the middle of the load', async () => {
    site = await startSmallSite('replicas-kill-engine', { weights: SLOW_STORE })
    const pending = sendMany(site, 10, 'kill')
    const engine = site.backend(await waitForLoad(site))
    await engine.kill()
    await engine.restart()
    expectAnswered(await pending)
    expectWithinBounds(site)
  })

  // A cold model is requested at both routers while the log is unreachable. Rights are granted in advance, so the
  // burst must be served, with one load.
  it('when the log is down during a cold burst', async () => {
    site = await startSmallSite('replicas-log-down')
    await site.log.command({ action: 'outage', on: true })
    expectAnswered(await sendMany(site, 20, 'log down'))
    expectWithinBounds(site)
  })

  // The connection between agent and engine goes silent during the load, so the response to the order is lost although
  // the load succeeds. Ordering it again, or at another engine, would make a second replica.
  it('when the response to the load order is lost', async () => {
    site = await startSmallSite('replicas-silent-order', {
      weights: SLOW_STORE,
      agents: ['a1', 'a2'].map(name => ({ name, services: [SERVICE], proxied: ['engine'] as const }))
    })
    const pending = sendMany(site, 10, 'silent')
    const holder = await waitForLoad(site)
    await site.proxy(`${holder}-engine`).command({ action: 'fault', fault: { kind: 'drop' }, scope: 'existing' })
    expectAnswered(await pending)
    expectWithinBounds(site)
  })

  // The weight store is slow and refuses loads above its rate while callers keep retrying. The load must be retried at
  // the same engine only.
  it('when the weight store refuses the load', async () => {
    site = await startSmallSite('replicas-store', { weights: { loads_per_second: 0.5 } })
    await site.weights.command({ action: 'outage', on: true })
    const pending = sendMany(site, 10, 'store')
    await site.rig.events.waitFor(event => event.number === StandinEvent.loadFailed.number && event.model === MODEL_ID, 'a load to fail')
    await site.weights.command({ action: 'outage', on: false })
    expectAnswered(await pending)
    expectWithinBounds(site)
  })
})
