import { expect } from 'chai'

import { sendMany, expectAnswered, expectWithinBounds, SERVICE, startSmallSite, TAKEOVER_TIMEOUT_MS, waitForLoad } from '../rig/smallSite.js'

import type { Site } from '../rig/createSite.js'

describe('no replica too many when a holder is paused', () => {
  let site: Site
  afterEach(async () => await site.close())

  const pauseHolder = async (name: string, enforcesFence: boolean): Promise<string> => {
    site = await startSmallSite(name, {
      agents: ['a1', 'a2'].map(agent => ({ name: agent, services: [SERVICE], backendKeys: { enforces_fence: enforcesFence } }))
    })
    expectAnswered(await sendMany(site, 2, 'first'))
    const holder = await waitForLoad(site)
    site.agent(holder).pause()
    await site.delist(holder)
    return holder
  }

  const wake = async (holder: string): Promise<void> => {
    site.agent(holder).resume()
    await site.rig.events.waitFor(event => event.instance === holder && event.name === 'pauseNoticed', 'the holder to notice its pause')
  }

  // The holder's agent is paused with the model loaded, the platform drops it from its list, and the
  // model is asked for. Its engine still has the replica, so another agent may load only when that
  // engine has given it up, and the holder that wakes must not load again.
  it('and another takes over', async () => {
    const holder = await pauseHolder('take-over-paused', true)
    expectAnswered(await sendMany(site, 6, 'meanwhile', {}, TAKEOVER_TIMEOUT_MS))
    await wake(holder)
    expectAnswered(await sendMany(site, 6, 'after'))
    expectWithinBounds(site)
  })

  // The same beside an engine that takes orders with any fencing number: its agent might wake and load again at
  // any moment, so nobody may take over. Callers are refused with a time to come back until the holder wakes
  // and is listed again.
  it('and nobody takes over from an engine that ignores fences', async () => {
    const holder = await pauseHolder('take-over-no-fence', false)
    const refused = await sendMany(site, 6, 'meanwhile', {}, 1)
    expect(refused.map(({ last }) => last.kind)).to.deep.equal(Array(6).fill('refused'))
    expect(refused.filter(({ last }) => (last.refusal?.retryAfterMs ?? 0) === 0)).to.deep.equal([])
    await wake(holder)
    await site.relist(holder)
    expectAnswered(await sendMany(site, 6, 'after'))
    expectWithinBounds(site)
  })
})
