import { StandinEvent } from '@figmount/standin'
import { expect } from 'chai'

import { sendMany, expectAnswered, expectWithinBounds, SLOW_STORE, startSmallSite, TAKEOVER_TIMEOUT_MS, waitForLoad } from '../rig/smallSite.js'

import type { Site } from '../rig/createSite.js'

const otherAgent = (name: string): string => name === 'a1' ? 'a2' : 'a1'

describe('no model has more replicas than it may when a holder is lost', () => {
  let site: Site
  afterEach(async () => await site.close())

  // The holder's instance is lost for good in the middle of a load: agent and engine are killed and removed from the
  // platform's list. After the required wait another agent, and only one, must take over.
  it('when the instance is lost in the middle of the load', async () => {
    site = await startSmallSite('replicas-lose-instance', { weights: SLOW_STORE })
    const pending = sendMany(site, 10, 'lost', {}, TAKEOVER_TIMEOUT_MS)
    const lost = await waitForLoad(site)
    await Promise.all([site.agent(lost).kill(), site.backend(lost).kill()])
    await site.delist(lost)
    expectAnswered(await pending)
    expectWithinBounds(site)
    expect(site.rig.events.all().filter(event => event.number === StandinEvent.loadFinished.number).map(event => event.instance))
      .to.deep.equal([`backend-${otherAgent(lost)}`])
  })

  // Responses of the log are lost after their appends took effect, while rights are granted and taken over. Repeating
  // an append whose response was lost must not grant a right twice.
  it('when responses of the log are lost during a takeover', async () => {
    site = await startSmallSite('replicas-lost-answers', { weights: SLOW_STORE })
    const pending = sendMany(site, 6, 'lost answers', {}, TAKEOVER_TIMEOUT_MS)
    const lost = await waitForLoad(site)
    await site.log.command({ action: 'lose', count: 4 })
    await Promise.all([site.agent(lost).kill(), site.backend(lost).kill()])
    await site.delist(lost)
    expectAnswered(await pending)
    expectWithinBounds(site)
    expect(site.rig.events.all().some(event => event.number === StandinEvent.answerLost.number)).to.equal(true)
  })
})
