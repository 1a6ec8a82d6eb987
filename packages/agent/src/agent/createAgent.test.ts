import { RefusalReason, RunState } from '@figmount/schema'
import { expect } from 'chai'

import { MODEL, modelSpec, startAgentForTest } from '../testing/startAgentForTest.js'

import type { InstanceName } from '@figmount/base'
import type { RouterToAgentMessage } from '@figmount/peers'

const replica = { kind: 'replica', target: MODEL, slotIndex: 0 } as const

describe('agent', () => {
  it('announces itself', async () => {
    const { log, incarnation } = await startAgentForTest()
    expect(log.state().agents.get('agent-1' as InstanceName)?.incarnation).to.equal(incarnation)
  })

  // Several requests for a cold model arrive at one agent. One load per request would reserve the model's memory
  // several times, and callers would wait for all of the loads.
  it('loads once for a burst', async () => {
    const { engine, advance, connect, grant } = await startAgentForTest()
    grant(replica)
    const router = connect()
    for (const id of ['a', 'b', 'c', 'd', 'e', 'f']) router.start(id, { prompt: id })
    await advance(1_000)
    expect(engine.orders.map(({ kind }) => kind)).to.deep.equal(['load'])
    for (const id of ['a', 'b', 'c', 'd', 'e', 'f']) {
      expect(router.tokensOf(id)).to.deep.equal([`${id}.0`, `${id}.1`, `${id}.2`])
      expect(router.finalOf(id)?.tokenCount).to.equal(3)
    }
    expect(engine.peakRunning()).to.be.at.most(4)
  })

  it('refuses a model that it has no right for', async () => {
    const { advance, connect, engine } = await startAgentForTest()
    const router = connect()
    router.start('a')
    await advance(50)
    expect(router.refusalOf('a')).to.include({ runState: RunState.NOT_RUN, reason: RefusalReason.UNAVAILABLE })
    expect(engine.orders).to.deep.equal([])
  })

  it('ignores messages of an unknown type or shape', async () => {
    const { advance, connect, grant, events } = await startAgentForTest()
    grant(replica)
    const router = connect()
    router.send({ type: 'of a newer build' } as unknown as RouterToAgentMessage)
    router.send({ type: 'start', attemptId: 'bad' } as unknown as RouterToAgentMessage)
    router.start('a')
    await advance(500)
    expect(router.finalOf('a')?.tokenCount).to.equal(3)
    expect(events('badInput')).to.have.length(2)
  })

  it('refuses a waiting request at its deadline', async () => {
    const { advance, connect, grant, engine } = await startAgentForTest()
    engine.knobs.loadMs = 5_000
    grant(replica)
    const router = connect()
    router.start('a', { remainingMs: 1_000 })
    await advance(1_200)
    expect(router.refusalOf('a')).to.include({ runState: RunState.NOT_RUN, reason: RefusalReason.DEADLINE })
    const waits = router.received.filter(message => message.type === 'progress')
    expect(waits.length).to.be.at.least(2)
  })

  it('keeps the minimum number of replicas loaded', async () => {
    const { advance, grant, engine } = await startAgentForTest({ models: [modelSpec('m', { minReplicas: 1 })] })
    grant(replica)
    await advance(400)
    expect(engine.residents().map(({ model, state }) => [model, state])).to.deep.equal([[MODEL, 'ready']])
  })

  it('unloads models that it has no right for when it starts', async () => {
    const under = await startAgentForTest()
    under.grant(replica)
    under.connect().start('a')
    await under.advance(500)
    under.log.write({ kind: 'instance.void', instance: 'agent-1' as InstanceName, upToOffset: under.log.state().nextOffset })
    const again = await under.restartAgent()
    await again.advance(3_000)
    expect(again.engine.residents()).to.deep.equal([])
  })
})
