import { expect } from 'chai'
import { RunState } from '@figmount/schema'

import { callOnce } from '../rig/callOnce.js'
import { sendMany, sendToSite, expectAnswered, MODEL, runCountsOf, SERVICE, SLOW_TOKENS, startSmallSite, waitForRun, warmUp } from '../rig/smallSite.js'

import type { CallOutcome } from '../rig/callTypes.js'
import type { AgentPlan } from '../rig/sitePlan.js'
import type { Site } from '../rig/createSite.js'

const slowAgents = (...proxied: ReadonlyArray<'engine' | 'peer' | 'log'>): readonly AgentPlan[] =>
  ['a1', 'a2'].map(name => ({ name, services: [SERVICE], backendKeys: SLOW_TOKENS, proxied }))

const NON_REPEATABLE = { repeatable: false, maxTokens: 100 } as const

describe('a request that may not be repeated runs at most once', () => {
  let site: Site
  afterEach(async () => await site.close())

  const sendTo = async (router: string, prompt: string, resendCount: number): Promise<CallOutcome> =>
    await callOnce(site.router(router).address, { service: SERVICE, model: MODEL, prompt, requestKey: prompt, issuedAtMs, resendCount, ...NON_REPEATABLE })
  let issuedAtMs = 0
  beforeEach(() => { issuedAtMs = Date.now() })

  // A caller times out and sends the same key to the other router while the first send still runs. Both sends must
  // get the answer of the one run.
  it('when it is sent again to another router', async () => {
    site = await startSmallSite('once-resend', { agents: slowAgents() })
    await warmUp(site)
    const first = sendTo('r1', 'billed', 0)
    await waitForRun(site, 'billed')
    const [firstOutcome, secondOutcome] = await Promise.all([first, sendTo('r2', 'billed', 1)])
    expect(firstOutcome.kind).to.equal('answered')
    expect(secondOutcome.kind).to.equal('answered')
    expect(secondOutcome.tokens).to.deep.equal(firstOutcome.tokens)
    expect(runCountsOf(site, 'billed')).to.deep.equal([1])
  })

  // The router dies while the request runs. The caller sends it again to the other router, which must find the
  // running attempt by its key.
  it('when its router is killed while it runs', async () => {
    site = await startSmallSite('once-kill-router', { agents: slowAgents() })
    await warmUp(site)
    const first = sendTo('r1', 'router dies', 0)
    await waitForRun(site, 'router dies')
    await site.router('r1').kill()
    expect((await first).kind).to.equal('broken')
    const again = await sendTo('r2', 'router dies', 1)
    expect(again.kind).to.equal('answered')
    expect(runCountsOf(site, 'router dies')).to.deep.equal([1])
  })

  // The agent that ran the request is killed and restarts without its state, so the outcome of the run is unknown:
  // the refusal must say "may have run", and the request must not run again.
  it('when its agent is killed while it runs', async () => {
    site = await startSmallSite('once-kill-agent', { agents: slowAgents() })
    await warmUp(site)
    const pending = sendToSite(site, { prompt: 'agent dies', ...NON_REPEATABLE }, 15_000)
    const agent = site.agent(await waitForRun(site, 'agent dies'))
    await agent.kill()
    await agent.restart()
    const { last } = await pending
    if (last.kind !== 'answered') expect(last.refusal?.runState).to.be.oneOf([RunState.MAY_HAVE_RUN, RunState.RAN])
    expect(runCountsOf(site, 'agent dies')).to.deep.equal([1])
  })

  // The engine dies and restarts while the request runs.
  it('when its engine is killed while it runs', async () => {
    site = await startSmallSite('once-kill-engine', { agents: slowAgents() })
    await warmUp(site)
    const pending = sendToSite(site, { prompt: 'engine dies', ...NON_REPEATABLE }, 15_000)
    const engine = site.backend(await waitForRun(site, 'engine dies'))
    await engine.kill()
    await engine.restart()
    const { last } = await pending
    expect(last.kind).to.equal('refused')
    expect(last.refusal?.runState).to.be.oneOf([RunState.MAY_HAVE_RUN, RunState.RAN])
    expect(runCountsOf(site, 'engine dies')).to.deep.equal([1])
  })

  // The links to the agent go silent during the run, and each end treats the other as lost.
  it('when the links to its agent go silent', async () => {
    site = await startSmallSite('once-silent-link', { agents: slowAgents('peer') })
    await warmUp(site)
    const pending = sendMany(site, 6, 'silent', NON_REPEATABLE)
    const holder = await waitForRun(site, 'silent 0')
    await site.proxy(`${holder}-peer`).command({ action: 'fault', fault: { kind: 'drop' }, scope: 'existing' })
    expectAnswered(await pending)
    expect(runCountsOf(site, 'silent')).to.deep.equal(Array(6).fill(1))
  })

  // The connection to the engine goes silent right after the request was sent on it.
  it('when the connection to the engine goes silent', async () => {
    site = await startSmallSite('once-silent-engine', { agents: slowAgents('engine') })
    await warmUp(site)
    const pending = sendMany(site, 6, 'quiet', NON_REPEATABLE)
    const holder = await waitForRun(site, 'quiet 0')
    await site.proxy(`${holder}-engine`).command({ action: 'fault', fault: { kind: 'drop' }, scope: 'existing' })
    expectAnswered(await pending)
    expect(runCountsOf(site, 'quiet')).to.deep.equal(Array(6).fill(1))
  })

  // The log is unreachable for longer than any agent's authority to start requests lasts. New requests must be
  // refused as "not run" and served when the log is back; none may run twice.
  it('when the log is down for a long time', async () => {
    site = await startSmallSite('once-log-down', { agents: slowAgents() })
    await warmUp(site)
    await site.log.command({ action: 'outage', on: true })
    // Wait for both agents: whichever holds the key's right starts requests until it has lost its own authority.
    await Promise.all(['a1', 'a2'].map(async name =>
      await site.rig.events.waitFor(event => event.name === 'authorityLost' && event.instance === name, `${name} to lose its authority`)))
    const refused = await sendTo('r1', 'log down', 0)
    expect(refused.refusal?.runState, JSON.stringify(refused)).to.equal(RunState.NOT_RUN)
    expect(runCountsOf(site, 'log down')).to.deep.equal([])
    const pending = sendMany(site, 4, 'outage', { ...NON_REPEATABLE, maxTokens: 5 })
    await site.log.command({ action: 'outage', on: false })
    expectAnswered(await pending)
    expect(runCountsOf(site, 'outage')).to.deep.equal(Array(4).fill(1))
  })
})
