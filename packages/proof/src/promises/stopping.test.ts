import { expect } from 'chai'
import { StandinEvent } from '@figmount/standin'

import { callOnce } from '../rig/callOnce.js'
import { modelService } from '../rig/sitePlan.js'
import { sendMany, expectAnswered, expectWithinBounds, MODEL, SERVICE, SLOW_STORE, SLOW_TOKENS, startCaller, startSmallSite, waitForLoad, waitForRun, warmUp } from '../rig/smallSite.js'

import type { RequestOutcome } from '../rig/callTypes.js'
import type { Site } from '../rig/createSite.js'

const SLOW_AGENTS = ['a1', 'a2'].map(name => ({ name, services: [SERVICE], backendKeys: { ...SLOW_TOKENS, batch_size: 32 } }))
const LONG_ANSWER = { maxTokens: 100 } as const

/** Prompts of requests with a send that ended without an answer or a refusal. */
const findCutPrompts = (outcomes: readonly RequestOutcome[]): readonly string[] =>
  outcomes.flatMap(({ plan, sends }) => sends.some(send => send.kind === 'broken') ? [plan.prompt] : [])

describe('a planned stop cuts no request', () => {
  let site: Site
  afterEach(async () => await site.close())

  // A router gets SIGTERM while answers stream through it.
  it('of a router', async () => {
    site = await startSmallSite('stop-router', { agents: SLOW_AGENTS })
    await warmUp(site)
    const pending = sendMany(site, 10, 'router', LONG_ANSWER)
    await waitForRun(site, 'router 0')
    expect((await site.router('r1').stop()).code).to.equal(0)
    const outcomes = await pending
    expectAnswered(outcomes)
    expect(findCutPrompts(outcomes)).to.deep.equal([])
  })

  // An agent gets SIGTERM while its engine streams answers and other requests wait in its queue.
  it('of an agent', async () => {
    site = await startSmallSite('stop-agent', { agents: SLOW_AGENTS, items: [modelService(SERVICE, [{ name: MODEL, maxReplicas: 2 }])] })
    await warmUp(site)
    const pending = sendMany(site, 10, 'agent', LONG_ANSWER)
    const holder = await waitForRun(site, 'agent 0')
    expect((await site.agent(holder).stop()).code).to.equal(0)
    const outcomes = await pending
    expectAnswered(outcomes)
    expect(findCutPrompts(outcomes)).to.deep.equal([])
  })

  // An agent gets SIGTERM in the middle of a load with callers waiting; the only replica must move to another agent.
  it('of an agent in the middle of a load', async () => {
    site = await startSmallSite('stop-loading', { weights: SLOW_STORE })
    const pending = sendMany(site, 6, 'loading')
    const holder = await waitForLoad(site)
    await site.list.command({ action: 'leaving', name: holder })
    expect((await site.agent(holder).stop()).code).to.equal(0)
    await site.backend(holder).stop()
    await site.delist(holder)
    const outcomes = await pending
    expectAnswered(outcomes)
    expect(findCutPrompts(outcomes)).to.deep.equal([])
    expectWithinBounds(site)
  })

  // All routers are restarted one after the other while callers keep sending.
  it('of every router in turn', async () => {
    site = await startSmallSite('stop-rolling', { agents: SLOW_AGENTS })
    await warmUp(site)
    const callers = ['c1', 'c2', 'c3'].map(name => startCaller(site, name, { maxTokens: 20 }))
    await site.rig.events.waitFor(event => event.number === StandinEvent.generateFinished.number, 'an answer')
    for (const name of ['r1', 'r2']) {
      expect((await site.router(name).stop()).code).to.equal(0)
      await site.router(name).restart()
    }
    expectAnswered((await Promise.all(callers.map(async caller => await caller.stop()))).flat())
  })

  // A router gets SIGTERM while the log is down.
  it('of a router while the log is down', async () => {
    site = await startSmallSite('stop-log-down', { agents: SLOW_AGENTS })
    await warmUp(site)
    const pending = callOnce(site.router('r1').address, { service: SERVICE, model: MODEL, prompt: 'down', requestKey: 'down', ...LONG_ANSWER })
    await waitForRun(site, 'down')
    await site.log.command({ action: 'outage', on: true })
    expect((await site.router('r1').stop()).code).to.equal(0)
    expect((await pending).kind).to.equal('answered')
  })
})
