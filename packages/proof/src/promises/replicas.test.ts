import { StandinEvent } from '@figmount/standin'
import { expect } from 'chai'

import { sendMany, expectAnswered, expectWithinBounds, MODEL_ID, SERVICE, SLOW_STORE, startSmallSite, waitForLoad } from '../rig/smallSite.js'

import type { Site } from '../rig/createSite.js'

describe('no replica too many', () => {
  let site: Site
  afterEach(async () => await site.close())

  // A model that may have one replica is cold. Forty callers ask at both routers at once and the
  // load is slow. If each router chose a backend server of its own, two would load.
  it('when a burst meets a slow load at both routers', async () => {
    site = await startSmallSite('replicas-burst', { weights: SLOW_STORE })
    expectAnswered(await sendMany(site, 40, 'burst'))
    expectWithinBounds(site)
    expect(site.rig.events.all().filter(event => event.number === StandinEvent.loadStarted.number)).to.have.length(1)
  })

  // The agent that ordered a load is killed while the engine loads, and starts again with empty
  // hands. The engine goes on loading; if the agent forgot it, or another agent loaded as well,
  // there would be two.
  it('when the agent is killed in the middle of the load', async () => {
    site = await startSmallSite('replicas-kill-agent', { weights: SLOW_STORE })
    const asked = sendMany(site, 10, 'kill')
    const holder = site.agent(await waitForLoad(site))
    await holder.kill()
    await holder.restart()
    expectAnswered(await asked)
    expectWithinBounds(site)
  })

  // The engine dies in the middle of a load and starts again empty. Its agent must load anew
  // there and nobody else may.
  it('when the engine is killed in the middle of the load', async () => {
    site = await startSmallSite('replicas-kill-engine', { weights: SLOW_STORE })
    const asked = sendMany(site, 10, 'kill')
    const engine = site.backend(await waitForLoad(site))
    await engine.kill()
    await engine.restart()
    expectAnswered(await asked)
    expectWithinBounds(site)
  })

  // The log is out of reach when a cold model is asked for at both routers. Rights were granted ahead of
  // need, so the burst is served, by one load.
  it('when the log is down during a cold burst', async () => {
    site = await startSmallSite('replicas-log-down')
    await site.log.command({ action: 'outage', on: true })
    expectAnswered(await sendMany(site, 20, 'log down'))
    expectWithinBounds(site)
  })

  // The connection between agent and engine goes silent while the engine loads: the answer to the order
  // never comes. The load took effect; ordering it elsewhere or twice would be one too many.
  it('when the answer to the order is lost in silence', async () => {
    site = await startSmallSite('replicas-silent-order', {
      weights: SLOW_STORE,
      agents: ['a1', 'a2'].map(name => ({ name, services: [SERVICE], proxied: ['engine'] as const }))
    })
    const asked = sendMany(site, 10, 'silent')
    const holder = await waitForLoad(site)
    await site.proxy(`${holder}-engine`).command({ action: 'fault', fault: { kind: 'drop' }, scope: 'existing' })
    expectAnswered(await asked)
    expectWithinBounds(site)
  })

  // The weight store is slow and refuses loads over its rate while callers press. The load is tried again at the
  // same place and not at another one as well.
  it('when the weight store refuses the load', async () => {
    site = await startSmallSite('replicas-store', { weights: { loads_per_second: 0.5 } })
    await site.weights.command({ action: 'outage', on: true })
    const asked = sendMany(site, 10, 'store')
    await site.rig.events.waitFor(event => event.number === StandinEvent.loadFailed.number && event.model === MODEL_ID, 'a load to fail')
    await site.weights.command({ action: 'outage', on: false })
    expectAnswered(await asked)
    expectWithinBounds(site)
  })
})
