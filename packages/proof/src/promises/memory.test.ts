import { expect } from 'chai'
import { StandinEvent } from '@figmount/standin'

import { modelService } from '../rig/sitePlan.js'
import { sendMany, expectAnswered, expectWithinBounds, SERVICE, SLOW_STORE, startSmallSite } from '../rig/smallSite.js'

import type { RequestOutcome } from '../rig/callTypes.js'
import type { Site } from '../rig/createSite.js'

const MODELS = ['m1', 'm2', 'm3', 'm4'] as const

/** Memory for two of the four models. */
const SMALL_ENGINE = { memory_capacity_mb: 25_000 } as const

const items = [modelService(SERVICE, MODELS.map(name => ({ name })))]

const requestAllModels = async (site: Site, count: number): Promise<readonly RequestOutcome[]> =>
  (await Promise.all(MODELS.map(async model => await sendMany(site, count, `wall ${model}`, { model, deadlineMs: 30_000 })))).flat()

describe('memory is never overcommitted', () => {
  let site: Site
  afterEach(async () => await site.close())

  const start = async (name: string, weights = {}): Promise<void> => {
    site = await startSmallSite(name, {
      items,
      weights: { loads_per_second: 20, ...weights },
      agents: [{ name: 'a1', services: [SERVICE], backendKeys: SMALL_ENGINE, proxied: ['engine'] }]
    })
  }

  // Four models are requested at once on a backend server with memory for two. Memory would exceed its capacity if a
  // load began before the engine confirmed an unload.
  it('when more models are requested than fit', async () => {
    await start('memory-burst')
    expectAnswered(await requestAllModels(site, 4))
    expectWithinBounds(site)
    expect(site.rig.events.all().some(event => event.number === StandinEvent.modelUnloaded.number)).to.equal(true)
  })

  // The agent is killed during a load and restarts without its memory ledger. The load that is still running in the
  // engine must be counted before anything else is loaded.
  it('when the agent is killed in the middle of a load', async () => {
    await start('memory-kill', SLOW_STORE)
    const pending = requestAllModels(site, 2)
    await site.rig.events.waitFor(event => event.number === StandinEvent.loadStarted.number, 'a load to begin')
    await site.agent('a1').kill()
    await site.agent('a1').restart()
    expectAnswered(await pending)
    expectWithinBounds(site)
  })

  // Responses to the agent's orders are lost because the connections go silent. The outcome of a load or an unload is
  // then unknown, so its memory must stay reserved until the engine reports it.
  it('when responses to orders are lost', async () => {
    await start('memory-silent', SLOW_STORE)
    const pending = requestAllModels(site, 2)
    await site.rig.events.waitFor(event => event.number === StandinEvent.loadStarted.number, 'a load to begin')
    await site.proxy('a1-engine').command({ action: 'fault', fault: { kind: 'drop' }, direction: 'down', scope: 'existing' })
    const mark = site.rig.events.mark()
    await site.rig.events.waitFor(event => event.number === StandinEvent.loadFinished.number, 'a load to end', { sinceMark: mark })
    await site.proxy('a1-engine').command({ action: 'fault', fault: { kind: 'drop' }, direction: 'down', scope: 'existing' })
    expectAnswered(await pending)
    expectWithinBounds(site)
  })

  // The engine dies, loses all loaded models and restarts empty.
  it('when the engine is killed', async () => {
    await start('memory-engine', SLOW_STORE)
    const pending = requestAllModels(site, 2)
    await site.rig.events.waitFor(event => event.number === StandinEvent.loadFinished.number, 'a load to end')
    await site.backend('a1').kill()
    await site.backend('a1').restart()
    expectAnswered(await pending)
    expectWithinBounds(site)
  })
})
