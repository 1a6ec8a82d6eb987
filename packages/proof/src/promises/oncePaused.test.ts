import { expect } from 'chai'
import { RunState } from '@figmount/schema'
import { StandinEvent } from '@figmount/standin'

import { callOnce } from '../rig/callOnce.js'
import { sendToSite, expectWithinBounds, MODEL, runCountOf, SERVICE, SLOW_TOKENS, startSmallSite, TAKEOVER_TIMEOUT_MS, waitForRun, warmUp } from '../rig/smallSite.js'

import type { Site } from '../rig/createSite.js'

const AGENTS = ['a1', 'a2'].map(name => ({ name, services: [SERVICE], backendKeys: SLOW_TOKENS }))
const NON_REPEATABLE = { service: SERVICE, model: MODEL, repeatable: false, maxTokens: 100 } as const

describe('a request that may not be repeated and a lost holder of its key', () => {
  let site: Site
  afterEach(async () => await site.close())

  // Guards against a second run after a takeover: the holder of the keys is paused right after it started a request,
  // and its instance is removed from the list. The caller keeps retrying. The new holder has no record of the key and
  // must not start the request, even after the old holder resumes with the request still running.
  it('runs once when the holder is paused and replaced', async () => {
    site = await startSmallSite('once-paused', { agents: AGENTS })
    await warmUp(site)
    const issuedAtMs = Date.now()
    const first = callOnce(site.router('r1').address, { ...NON_REPEATABLE, prompt: 'paused', requestKey: 'paused', issuedAtMs })
    const holder = await waitForRun(site, 'paused')
    site.agent(holder).pause()
    await site.delist(holder)
    const mark = site.rig.events.mark()
    expect((await first).refusal?.runState).to.not.equal(RunState.NOT_RUN)
    const pendingAtSuccessor = sendToSite(site, { prompt: 'wakes the successor' }, TAKEOVER_TIMEOUT_MS)
    await site.rig.events.waitFor(event => event.number === StandinEvent.loadStarted.number && event.instance !== `backend-${holder}`, 'a successor to load', { sinceMark: mark, timeoutMs: TAKEOVER_TIMEOUT_MS })
    const again = await callOnce(site.router('r2').address, { ...NON_REPEATABLE, prompt: 'paused', requestKey: 'paused', issuedAtMs, resendCount: 1 })
    expect(again.refusal?.runState).to.be.oneOf([RunState.MAY_HAVE_RUN, RunState.RAN])
    expect((await pendingAtSuccessor).last.kind).to.equal('answered')
    site.agent(holder).resume()
    await site.rig.events.waitFor(event => event.instance === holder && event.name === 'pauseNoticed', 'the holder to notice its pause')
    const last = await callOnce(site.router('r1').address, { ...NON_REPEATABLE, prompt: 'paused', requestKey: 'paused', issuedAtMs, resendCount: 2 })
    if (last.kind === 'refused') expect(last.refusal?.runState).to.not.equal(RunState.NOT_RUN)
    expect(runCountOf(site, 'paused')).to.equal(1)
    expectWithinBounds(site)
  })
})
