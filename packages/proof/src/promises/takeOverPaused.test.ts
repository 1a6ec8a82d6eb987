import { expect } from 'chai'

import { sendMany, expectAnswered, expectWithinBounds, SERVICE, startSmallSite, TAKEOVER_TIMEOUT_MS, waitForLoad } from '../rig/smallSite.js'

import type { Site } from '../rig/createSite.js'

describe('no model has more replicas than it may when a holder is paused', () => {
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

  const resumeHolder = async (holder: string): Promise<void> => {
    site.agent(holder).resume()
    await site.rig.events.waitFor(event => event.instance === holder && event.name === 'pauseNoticed', 'the holder to notice its pause')
  }

  // The holder's agent is paused with the model loaded and removed from the platform's list, and the model is
  // requested. Its engine still holds the replica: another agent may load only after that engine has unloaded it, and
  // the holder must not load again when it resumes.
  it('and another agent takes over', async () => {
    const holder = await pauseHolder('take-over-paused', true)
    expectAnswered(await sendMany(site, 6, 'meanwhile', {}, TAKEOVER_TIMEOUT_MS))
    await resumeHolder(holder)
    expectAnswered(await sendMany(site, 6, 'after'))
    expectWithinBounds(site)
  })

  // The engine accepts orders with any fencing token, so its paused agent could resume and load again at any moment:
  // no agent may take over. Callers are refused with a retry time until the holder resumes and is listed again.
  it('and no agent takes over from an engine that ignores fencing tokens', async () => {
    const holder = await pauseHolder('take-over-no-fence', false)
    const refused = await sendMany(site, 6, 'meanwhile', {}, 1)
    expect(refused.map(({ last }) => last.kind)).to.deep.equal(Array(6).fill('refused'))
    expect(refused.filter(({ last }) => (last.refusal?.retryAfterMs ?? 0) === 0)).to.deep.equal([])
    await resumeHolder(holder)
    await site.relist(holder)
    expectAnswered(await sendMany(site, 6, 'after'))
    expectWithinBounds(site)
  })
})
