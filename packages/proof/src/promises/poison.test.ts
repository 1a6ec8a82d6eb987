import { expect } from 'chai'
import { RefusalReason } from '@figmount/schema'
import { StandinEvent } from '@figmount/standin'

import { callOnce } from '../rig/callOnce.js'
import { modelService } from '../rig/sitePlan.js'
import { sendMany, sendToSite, expectAnswered, MODEL, SERVICE, SLOW_TOKENS, startSmallSite, waitForRun } from '../rig/smallSite.js'

import type { RigProcess } from '../rig/types.js'
import type { Site } from '../rig/createSite.js'

const MARKER = 'crashes-engines'

const AGENTS = ['a1', 'a2', 'a3'].map(name => ({ name, services: [SERVICE], backendKeys: { ...SLOW_TOKENS, poison_marker: MARKER } }))

/** Restarts an engine whenever it exits, as the platform does, until `isOver`. */
const restartOnExit = async (engine: RigProcess, isOver: () => boolean): Promise<void> => {
  while (!isOver()) {
    await engine.ended()
    if (!isOver()) await engine.restart()
  }
}

describe('a request that crashes engines', () => {
  // A request crashes every engine that runs it, and its caller keeps retrying while other requests run beside it.
  // At most two engines may crash because of it, and every other request must be answered.
  it('is quarantined and other requests are served', async () => {
    const site: Site = await startSmallSite('poison', { agents: AGENTS, items: [modelService(SERVICE, [{ name: MODEL, maxReplicas: 3 }])] })
    let isOver = false
    for (const agent of AGENTS) restartOnExit(site.backend(agent.name), () => isOver).catch(() => {})
    try {
      expectAnswered(await sendMany(site, 3, 'before'))
      const pendingOthers = sendMany(site, 8, 'bystander', { maxTokens: 60 })
      await waitForRun(site, 'bystander 0')
      const { last } = await sendToSite(site, { prompt: `this ${MARKER}` }, 20_000)
      expect(last.kind).to.equal('refused')
      expect(last.refusal?.reason).to.equal(RefusalReason.QUARANTINED)
      const otherKeyOutcome = await callOnce(site.router('r2').address, { service: SERVICE, model: MODEL, prompt: `this ${MARKER}`, requestKey: 'another' })
      expect(otherKeyOutcome.refusal?.reason).to.equal(RefusalReason.QUARANTINED)
      expectAnswered(await pendingOthers)
      expect(site.rig.events.all().filter(event => event.number === StandinEvent.poisonRun.number)).to.have.length.at.most(2)
    } finally {
      isOver = true
      await site.close()
    }
  })
})
