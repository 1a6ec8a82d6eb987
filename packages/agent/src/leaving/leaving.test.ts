import { RefusalReason, RunState } from '@figmount/schema'
import { expect } from 'chai'

import { MODEL, modelSpec, startAgentForTest } from '../testing/startAgentForTest.js'

import type { AttemptId, InstanceName, ModelId } from '@figmount/base'
import type { AgentUnderTest, FakeRouter } from '../testing/startAgentForTest.js'

const COLD = 'reader/cold' as ModelId

const ready = async (limits: object = {}): Promise<{ readonly under: AgentUnderTest, readonly router: FakeRouter }> => {
  const under = await startAgentForTest({ models: [modelSpec('m'), modelSpec('cold', { memoryMb: 700 })], limits })
  under.grant({ kind: 'replica', target: MODEL, slotIndex: 0 })
  under.grant({ kind: 'replica', target: COLD, slotIndex: 0 })
  under.grant({ kind: 'keys', target: MODEL })
  const router = under.connect()
  router.start('warm')
  await under.advance(400)
  router.send({ type: 'ack', attemptId: 'warm' as AttemptId, belowFrame: 100 })
  return { under, router }
}

const statusesOf = ({ log }: AgentUnderTest): readonly string[] => [...log.state().rights.values()].map(({ status }) => status)

describe('leaving', () => {
  // A planned stop during work: running requests and those that can still run are answered, those that cannot start are
  // refused at once so that the router sends them elsewhere, and no new ones are accepted.
  it('finishes its work, refuses the rest and stops when idle', async () => {
    const { under, router } = await ready()
    for (const id of ['a', 'b', 'c', 'd', 'queued']) router.start(id, { prompt: id, maxTokens: 50 })
    under.engine.knobs.loadMs = 10_000
    await under.advance(50)
    const stopping = under.agent.stop().then(() => 'stopped')
    await under.advance(50)
    expect(router.received.some(({ type }) => type === 'leaving')).to.equal(true)
    router.start('cold', { model: COLD })
    router.start('new', { prompt: 'new' })
    await under.advance(50)
    expect(router.refusalOf('new')).to.include({ runState: RunState.NOT_RUN, reason: RefusalReason.STOPPING })
    expect(router.refusalOf('cold')).to.include({ runState: RunState.NOT_RUN, reason: RefusalReason.STOPPING })
    await under.advance(1_500)
    for (const id of ['a', 'b', 'c', 'd', 'queued']) {
      expect(router.finalOf(id)?.tokenCount).to.equal(50)
      router.send({ type: 'ack', attemptId: id as AttemptId, belowFrame: 100 })
    }
    await under.advance(100)
    expect(await Promise.race([stopping, 'still running'])).to.equal('stopped')
    expect(statusesOf(under)).to.deep.equal(['granted', 'granted', 'granted'])
    expect(under.engine.residents()).to.have.length(1)
  })

  it('refuses queued requests for a cold model at once', async () => {
    const { under, router } = await ready()
    router.start('a', { maxTokens: 20 })
    await under.advance(50)
    router.start('cold', { model: COLD })
    await under.advance(50)
    expect(router.refusalOf('cold')).to.equal(undefined)
    const stopping = under.agent.stop()
    await under.advance(20)
    expect(router.refusalOf('cold')).to.include({ runState: RunState.NOT_RUN, reason: RefusalReason.STOPPING })
    await under.advance(4_000)
    await stopping
  })

  it('refuses the remaining work at its deadline', async () => {
    const { under, router } = await ready({ drain_ms: '1000' })
    router.start('a', { maxTokens: 5_000 })
    await under.advance(50)
    const stopping = under.agent.stop()
    await under.advance(5_000)
    await stopping
    expect(router.refusalOf('a')).to.include({ runState: RunState.RAN, reason: RefusalReason.STOPPING })
  })

  // The platform removes the instance permanently. If it kept its rights to the end, they could only be voided after a
  // wait, and its models would be cold for callers until then.
  it('releases its rights when the instance list marks it as leaving', async () => {
    const { under, router } = await ready()
    router.start('a', { maxTokens: 50 })
    await under.advance(50)
    under.listing = { listed: 'present', leaving: true }
    await under.advance(5_200)
    expect(router.received.some(({ type }) => type === 'leaving')).to.equal(true)
    expect(router.finalOf('a')?.tokenCount).to.equal(50)
    expect(under.engine.residents()).to.deep.equal([])
    expect(statusesOf(under)).to.deep.equal(['free', 'free', 'free'])
  })

  // The platform marks the instance as leaving and stops it at once, between two reads of the list. If this counted as a
  // restart, the agent would keep its rights, and its callers would be refused until they are voided.
  it('releases its rights when the list marks it as leaving only at the stop', async () => {
    const { under } = await ready()
    under.listing = { listed: 'present', leaving: true }
    const stopping = under.agent.stop().then(() => 'stopped')
    await under.advance(4_000)
    expect(await Promise.race([stopping, 'still running'])).to.equal('stopped')
    expect(under.engine.residents()).to.deep.equal([])
    expect(statusesOf(under)).to.deep.equal(['free', 'free', 'free'])
  })

  it('drains for an operator and accepts work again afterwards', async () => {
    const { under, router } = await ready()
    const drain = (draining: boolean) => under.log.write({ kind: 'drain.set', instance: 'agent-1' as InstanceName, draining, operatorName: 'op' })
    drain(true)
    router.start('a')
    await under.advance(50)
    expect(router.refusalOf('a')?.reason).to.equal(RefusalReason.STOPPING)
    expect(under.agent.report().draining).to.equal(true)
    drain(false)
    await under.advance(200)
    expect(under.agent.report().draining).to.equal(false)
    expect(under.events('drainEnded')).to.have.length(1)
  })
})
