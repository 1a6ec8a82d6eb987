import { expect } from 'chai'
import { StandinEvent } from '@figmount/standin'

import { callerKey, DEFAULT_CALLER } from '../rig/operate.js'
import { callOnce } from '../rig/callOnce.js'
import { sendMany, sendToSite, expectAnswered, expectWithinBounds, MODEL, runCountsOf, SERVICE, SLOW_STORE, startSmallSite } from '../rig/smallSite.js'

import type { Site } from '../rig/createSite.js'

describe('request path from routers to engines', () => {
  let site: Site
  before(async () => { site = await startSmallSite('path', { weights: SLOW_STORE }) })
  after(async () => await site.close())

  it('serves a burst at both routers with one load', async () => {
    expectAnswered(await sendMany(site, 40, 'north wall'))
    expect(site.rig.events.all().filter(event => event.number === StandinEvent.loadStarted.number)).to.have.length(1)
    expectWithinBounds(site)
  })

  it('streams an answer frame by frame', async () => {
    const outcome = await sendToSite(site, { prompt: 'south wall', maxTokens: 60 })
    expectAnswered([outcome])
    expect(outcome.last.firstTokenMs).to.be.lessThan(outcome.last.totalMs)
    expect(outcome.last.final?.frameCount).to.be.greaterThan(2)
  })

  it('runs a non-repeatable request only once', async () => {
    const plan = { prompt: 'billed wall', repeatable: false, requestKey: 'bill-1', issuedAtMs: Date.now() }
    const first = await sendToSite(site, plan)
    expectAnswered([first])
    const again = await callOnce(site.router('r2').address, { service: SERVICE, model: MODEL, ...plan, resendCount: 1 })
    expect(again.kind).to.equal('answered')
    expect(again.final?.replayed).to.equal(true)
    expect(again.tokens).to.deep.equal(first.last.tokens)
    expect(runCountsOf(site, 'billed wall')).to.deep.equal([1])
  })

  it('answers JSON over plain HTTP', async () => {
    const response = await fetch(`http://${site.router('r1').address}/figmount.v1.Inference/InferWhole`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${callerKey(DEFAULT_CALLER)}` },
      body: JSON.stringify({ requestKey: 'json-1', issuedAtMs: String(Date.now()), deadlineMs: 10_000, repeatable: true, service: SERVICE, model: MODEL, prompt: 'arch', maxTokens: 3 })
    })
    const answer = await response.json() as { text: string, final: { tokenCount: number } }
    expect(answer.final.tokenCount).to.equal(3)
    expect(answer.text).to.match(/^\w+-0 \w+-1 \w+-2 $/)
  })

  it('refuses an unknown model and a wrong key', async () => {
    const unknown = await callOnce(site.router('r1').address, { service: SERVICE, model: 'nothing', prompt: 'x', requestKey: 'u-1' })
    expect(unknown.refusal?.runState).to.equal(1)
    const unknownCaller = await callOnce(site.router('r1').address, { service: SERVICE, model: MODEL, prompt: 'x', requestKey: 'u-2', caller: 'stranger' })
    expect(unknownCaller.kind).to.not.equal('answered')
  })
})
