import { randomUUID } from 'node:crypto'
import { expect } from 'chai'

import { OPERATOR_KEY } from '../rig/createSite.js'
import { operatorAt } from '../rig/operate.js'
import { modelService } from '../rig/sitePlan.js'
import { sendToSite, expectAnswered, MODEL, SERVICE, startSmallSite } from '../rig/smallSite.js'

import type { ApplyOutcome, ConfigItem } from '@figmount/schema'
import type { ConfigChange } from '../rig/sitePlan.js'
import type { Site } from '../rig/createSite.js'

const ITEM = `service/${SERVICE}`

/** The service with additional models, named after the change. */
const withModels = (...names: readonly string[]): ConfigChange => modelService(SERVICE, [MODEL, ...names].map(name => ({ name, memoryMb: 1000 })))

describe('an accepted configuration is in force everywhere and never reverts', () => {
  let site: Site
  afterEach(async () => await site.close())

  const applyAt = async (router: string, change: ConfigChange, expectedVersion: bigint, changeId: string = randomUUID()): Promise<ApplyOutcome | undefined> => {
    const { outcomes } = await operatorAt(site.router(router).address, OPERATOR_KEY)
      .apply({ items: [{ name: change.name, bodyJson: JSON.stringify(change.body), expectedVersion }], changeId })
    return outcomes[0]
  }

  const getItemAt = async (router: string): Promise<ConfigItem | undefined> =>
    (await operatorAt(site.router(router).address, OPERATOR_KEY).get({ name: ITEM })).items[0]

  /** The guarantee says "within seconds"; the limit is generous, since the machine is shared. */
  const waitForVersion = async (router: string, version: bigint): Promise<void> =>
    await site.rig.waitUntil(`version ${version} at ${router}`, async () => (await getItemAt(router))?.version === version, 10_000)

  // Two operators change the same item at two routers at once. One succeeds, the other receives the winning version.
  it('when operators race', async () => {
    site = await startSmallSite('config-race')
    const outcomes = await Promise.all([applyAt('r1', withModels('left'), 1n), applyAt('r2', withModels('right'), 1n)])
    expect(outcomes.map(outcome => outcome?.accepted).sort()).to.deep.equal([false, true])
    const winner = outcomes.find(outcome => outcome?.accepted)
    const loser = outcomes.find(outcome => !outcome?.accepted)
    expect(loser?.current?.bodyJson).to.equal(winner?.current?.bodyJson)
    await waitForVersion('r1', 2n)
    await waitForVersion('r2', 2n)
    expect((await getItemAt('r1'))?.bodyJson).to.equal((await getItemAt('r2'))?.bodyJson)
  })

  const NEW_MODELS = ['m1', 'm2', 'm3', 'm4'] as const

  const expectNewModels = async (): Promise<void> => {
    expect((await applyAt('r1', withModels(...NEW_MODELS), 1n))?.accepted).to.equal(true)
    expectAnswered(await Promise.all(NEW_MODELS.map(async model => await sendToSite(site, { prompt: `new ${model}`, model }))))
  }

  // One router cannot read the log. It must receive the change from its peers and serve the new models; the other
  // router must propose the rights that this one cannot.
  it('when a router is cut off from the log', async () => {
    site = await startSmallSite('config-cut', { routers: [{ name: 'r1' }, { name: 'r2', proxied: ['log'] }] })
    await site.proxy('r2-log').command({ action: 'refuse', on: true })
    await site.proxy('r2-log').command({ action: 'cut' })
    await expectNewModels()
    await waitForVersion('r2', 2n)
  })

  // New models are configured while one router is dead and still on the platform's instance list.
  it('when a dead router is still listed', async () => {
    site = await startSmallSite('config-dead')
    await site.router('r2').kill()
    await expectNewModels()
  })

  // Guards against a change that is applied twice: the log appends it and the response is lost. The operator repeats
  // it with the same change id and must be told that it is accepted.
  it('when the response of the log is lost', async () => {
    site = await startSmallSite('config-lost')
    await site.log.command({ action: 'lose', count: 1 })
    const changeId = randomUUID()
    const first = await applyAt('r1', withModels('lost'), 1n, changeId).catch(() => undefined)
    const again = first ?? await applyAt('r2', withModels('lost'), 1n, changeId)
    expect(again?.accepted).to.equal(true)
    await waitForVersion('r2', 2n)
    expect((await operatorAt(site.router('r1').address, OPERATOR_KEY).history({ name: ITEM })).items).to.have.length(2)
  })

  // A router is killed and restarts while the log is down. It must not serve an older configuration than its peers:
  // it gets the current one from them or waits.
  it('when a router restarts while the log is down', async () => {
    site = await startSmallSite('config-restart')
    expect((await applyAt('r1', withModels('newer'), 1n))?.accepted).to.equal(true)
    await waitForVersion('r2', 2n)
    await site.log.command({ action: 'outage', on: true })
    await site.router('r2').kill()
    await site.router('r2').restart()
    await site.rig.waitUntil('r2 to have the item', async () => await getItemAt('r2').then(item => item !== undefined, () => false))
    expect((await getItemAt('r2'))?.version).to.equal(2n)
  })

  // An operator applies a change while the log is down. It must not be reported as accepted unless it later takes effect.
  it('when the log is down', async () => {
    site = await startSmallSite('config-down')
    await site.log.command({ action: 'outage', on: true })
    const outcome = await applyAt('r1', withModels('down'), 1n).catch((error: Error) => error)
    expect(outcome).to.be.instanceOf(Error)
    await site.log.command({ action: 'outage', on: false })
    const changeId = randomUUID()
    await site.rig.waitUntil('the change to be accepted', async () => await applyAt('r1', withModels('down'), 1n, changeId).then(done => done?.accepted === true || done?.current?.version === 2n, () => false))
    await waitForVersion('r2', 2n)
  })
})
