import { keepByHistory } from '@figmount/decisions'
import { ORDER_DEADLINE_MS } from '@figmount/records'
import { RunState } from '@figmount/schema'
import { expect } from 'chai'

import { AgentEvent } from '../events.js'
import { MODEL, modelSpec, startAgentForTest } from '../testing/startAgentForTest.js'
import { ORDER_SETTLE_MS } from './constants.js'

import type { LogOffset, ModelId } from '@figmount/base'
import type { AgentUnderTest } from '../testing/startAgentForTest.js'

const replicaOf = (target: ModelId, slotIndex = 0) => ({ kind: 'replica', target, slotIndex }) as const
const kinds = ({ engine }: AgentUnderTest): readonly string[] => engine.orders.map(order => `${order.kind} ${order.model}`)
const configure = ({ log }: AgentUnderTest, expectedVersion: number, models: readonly object[]): void => {
  log.write({ kind: 'config.set', item: 'service/reader', expectedVersion, bodyJson: JSON.stringify({ kind: 'models', models }), operatorName: 'op' })
}

describe('loading', () => {
  // The agent is killed and started again while its engine goes on. Loaded or unloaded anew, the
  // model would be cold for its callers though nothing happened to it.
  it('keeps over a restart what it holds a right for', async () => {
    const under = await startAgentForTest()
    under.grant(replicaOf(MODEL))
    under.connect().start('a')
    await under.advance(500)
    const again = await under.restartAgent()
    const router = again.connect()
    router.start('b')
    await again.advance(500)
    expect(router.finalOf('b')?.tokenCount).to.equal(3)
    expect(kinds(again)).to.deep.equal([`load ${MODEL}`])
  })

  // The log is down, and an agent is killed and started again beside an engine that holds its model.
  // It cannot be named by the log, and its callers would be refused until the outage ends.
  it('serves what its engine holds after a restart while the log is down, and loads nothing', async () => {
    const cold = 'reader/cold' as ModelId
    const under = await startAgentForTest({ models: [modelSpec('m'), modelSpec('cold')] })
    under.grant(replicaOf(MODEL))
    under.grant(replicaOf(cold))
    under.connect().start('a')
    await under.advance(500)
    under.log.isUp = false
    const again = await under.restartAgent()
    const router = again.connect()
    router.start('b')
    router.start('c', { model: cold })
    router.start('d', { repeatable: false })
    await again.advance(500)
    expect(router.finalOf('b')?.tokenCount).to.equal(3)
    expect(router.refusalOf('c')).to.include({ runState: RunState.NOT_RUN, step: 'agent.start' })
    expect(router.refusalOf('d')?.runState).to.equal(RunState.NOT_RUN)
    expect(kinds(again)).to.deep.equal([`load ${MODEL}`])
  })

  // The agent dies in the middle of a load. Its next run finds the engine loading; without
  // counting that, it would order a second load or give the memory away.
  it('takes over a load that an earlier run ordered', async () => {
    const under = await startAgentForTest()
    under.engine.knobs.loadMs = 2_000
    under.grant(replicaOf(MODEL))
    under.connect().start('a')
    await under.advance(200)
    const again = await under.restartAgent()
    expect(again.agent.report().memoryUsedMb).to.equal(400)
    const router = again.connect()
    router.start('b')
    await again.advance(4_000)
    expect(router.finalOf('b')?.tokenCount).to.equal(3)
    expect(kinds(again)).to.deep.equal([`load ${MODEL}`])
  })

  // The engine loads, but its answer is lost. A caller would wait until its deadline for a
  // model that has been ready all along.
  it('finds a load whose answer was lost', async () => {
    const under = await startAgentForTest()
    under.engine.knobs.fateOf = () => 'lose'
    under.grant(replicaOf(MODEL))
    const router = under.connect()
    router.start('a')
    await under.advance(2_500)
    expect(router.finalOf('a')?.tokenCount).to.equal(3)
    expect(kinds(under)).to.deep.equal([`load ${MODEL}`])
  })

  // The order never reaches the engine. Given up too early, its memory could be promised to
  // another model while the order is still under way; given up never, the model stays cold.
  it('orders again after an order was lost, not before its deadline', async () => {
    const under = await startAgentForTest()
    let count = 0
    under.engine.knobs.fateOf = () => count++ === 0 ? 'drop' : 'answer'
    under.grant(replicaOf(MODEL))
    const router = under.connect()
    router.start('a')
    await under.advance(4_500)
    expect(under.agent.report().memoryUsedMb).to.equal(400)
    expect(kinds(under)).to.have.length(1)
    await under.advance(4_000)
    expect(router.finalOf('a')?.tokenCount).to.equal(3)
    expect(kinds(under)).to.have.length(2)
  })

  // The engine dies in the middle of a load and comes back empty a second later. Waiting for the
  // order's deadline would keep callers from a model that nobody is loading.
  it('orders again at once after the engine died in the middle', async () => {
    const under = await startAgentForTest()
    under.engine.knobs.loadMs = 1_000
    under.grant(replicaOf(MODEL))
    const router = under.connect()
    router.start('a')
    await under.advance(300)
    under.engine.knobs.isDown = true
    under.engine.knobs.restart()
    await under.advance(1_000)
    under.engine.knobs.isDown = false
    await under.advance(3_600)
    expect(router.finalOf('a')?.tokenCount).to.equal(3)
  })

  it('backs off from a full weight store', async () => {
    const under = await startAgentForTest()
    let count = 0
    under.engine.knobs.fateOf = () => count++ < 3 ? 'exhausted' : 'answer'
    under.grant(replicaOf(MODEL))
    const router = under.connect()
    router.start('a')
    await under.advance(8_000)
    expect(router.finalOf('a')?.tokenCount).to.equal(3)
    const waits = under.events('storeBackedOff').map(({ waitMs }) => waitMs ?? 0)
    expect(waits).to.deep.equal([500, 1000, 2000])
  })

  // An operator changes the version while the old one runs. Loaded beside the old one, it
  // would exceed the replicas decided; unloaded at once, it would cut the running request.
  it('unloads the old version before it loads the new one', async () => {
    const under = await startAgentForTest()
    under.grant(replicaOf(MODEL))
    const router = under.connect()
    router.start('a', { maxTokens: 50 })
    await under.advance(300)
    configure(under, 1, [modelSpec('m', { currentVersion: 'v2' })])
    await under.advance(100)
    router.start('b')
    await under.advance(1_500)
    expect(router.finalOf('a')).to.include({ tokenCount: 50, version: 'v1' })
    expect(router.finalOf('b')).to.include({ tokenCount: 3, version: 'v2' })
    expect(kinds(under)).to.deep.equal([`load ${MODEL}`, `unload ${MODEL}`, `load ${MODEL}`])
    expect(under.engine.peakMb()).to.equal(400)
  })

  it('serves two versions in turn', async () => {
    const under = await startAgentForTest()
    under.grant(replicaOf(MODEL))
    const router = under.connect()
    router.start('a', { version: 'v2' })
    router.start('b', { version: 'v1', prompt: 'b' })
    await under.advance(2_000)
    expect(router.finalOf('a')).to.include({ version: 'v2' })
    expect(router.finalOf('b')).to.include({ version: 'v1' })
  })

  it('evicts idle models for a load, never running ones', async () => {
    const other = 'reader/other' as ModelId
    const third = 'reader/third' as ModelId
    const under = await startAgentForTest({ models: [modelSpec('m'), modelSpec('other'), modelSpec('third')] })
    for (const target of [MODEL, other, third]) under.grant(replicaOf(target))
    const router = under.connect()
    router.start('a')
    await under.advance(400)
    router.start('b', { model: other, prompt: 'b', maxTokens: 200 })
    await under.advance(400)
    router.start('c', { model: third, prompt: 'c' })
    await under.advance(600)
    expect(router.finalOf('c')?.tokenCount).to.equal(3)
    expect(kinds(under).filter(kind => kind.startsWith('unload'))).to.deep.equal([`unload ${MODEL}`])
    expect(under.engine.peakMb()).to.be.at.most(1_000)
    await under.advance(2_000)
    expect(router.finalOf('b')?.tokenCount).to.equal(200)
  })

  it('unloads a model that has been idle for long', async () => {
    const under = await startAgentForTest({ decisions: { keepAlive: view => 1_000 - view.idleMs } })
    under.grant(replicaOf(MODEL))
    under.connect().start('a')
    await under.advance(4_000)
    expect(under.engine.residents()).to.have.length(1)
    await under.advance(2_500)
    expect(under.engine.residents()).to.deep.equal([])
    expect(under.events(AgentEvent.unloadConfirmed.name)[0]).to.include({ memoryMb: 0, memoryCapacityMb: 1_000 })
  })

  // A model with a quick reload and no history is asked once a second. Unloaded by its history
  // after each answer, every caller would meet a cold start.
  it('keeps a model that is used again and again', async () => {
    const under = await startAgentForTest({ decisions: { keepAlive: keepByHistory } })
    under.grant(replicaOf(MODEL))
    const router = under.connect()
    for (let index = 0; index < 12; index += 1) {
      router.start(`r${index}`)
      await under.advance(1_000)
    }
    expect(kinds(under)).to.deep.equal([`load ${MODEL}`])
  })

  it('loads adapters on demand, up to their slots', async () => {
    const adapters = [{ name: 'salt', memoryMb: 50 }, { name: 'crack', memoryMb: 50, maxReplicas: 1 }]
    const under = await startAgentForTest({ models: [modelSpec('m', { adapters })] })
    under.grant(replicaOf(MODEL, 1))
    const router = under.connect()
    router.start('a', { adapter: 'salt' })
    router.start('b', { adapter: 'crack', prompt: 'b' })
    await under.advance(600)
    expect(router.finalOf('a')?.tokenCount).to.equal(3)
    expect(router.refusalOf('b')?.detail).to.contain('may not load adapter crack')
    expect(under.agent.report()).to.deep.include({ memoryUsedMb: 450 })
    expect(under.agent.report().models[0]?.adapters).to.deep.equal(['salt'])
  })

  // Operators revoke a right while its model runs. Released before the unload is confirmed,
  // the next holder would load a replica too many.
  it('releases a revoked right after the unload, when nothing runs', async () => {
    const under = await startAgentForTest()
    const fence = under.grant(replicaOf(MODEL))
    const router = under.connect()
    router.start('a', { maxTokens: 40 })
    await under.advance(300)
    under.log.write({ kind: 'right.revoke', right: replicaOf(MODEL), fence: fence as LogOffset })
    await under.advance(100)
    const statusOf = (): string | undefined => [...under.log.state().rights.values()][0]?.status
    expect(statusOf()).to.equal('revoked')
    expect(under.engine.residents()).to.have.length(1)
    await under.advance(1_500)
    expect(router.finalOf('a')?.tokenCount).to.equal(40)
    expect(under.engine.residents()).to.deep.equal([])
    expect(statusOf()).to.equal('free')
  })

  // An agent orders a load and restarts; the order is still on its way to the engine, which shows
  // nothing loaded. If the restarted agent gave the right back at once, the next holder would load
  // the model and then the late order would load it here, too.
  it('gives nothing back while an order of an earlier run may be on its way', async () => {
    const under = await startAgentForTest()
    const fence = under.grant(replicaOf(MODEL))
    await under.advance(200)
    const again = await under.restartAgent()
    await again.advance(200)
    again.log.write({ kind: 'right.revoke', right: replicaOf(MODEL), fence: fence as LogOffset })
    const statusOf = (): string | undefined => [...again.log.state().rights.values()][0]?.status
    await again.advance(ORDER_DEADLINE_MS)
    expect(statusOf()).to.equal('revoked')
    await again.advance(ORDER_SETTLE_MS)
    expect(statusOf()).to.equal('free')
  })

  // An operator lowers the greatest number of replicas. Kept loaded until its right is revoked,
  // the model would have a replica too many for that long.
  it('unloads above a lowered bound', async () => {
    const under = await startAgentForTest()
    under.grant(replicaOf(MODEL, 1))
    const router = under.connect()
    router.start('a')
    await under.advance(400)
    configure(under, 1, [modelSpec('m', { maxReplicas: 1 })])
    router.start('b')
    await under.advance(200)
    expect(under.engine.residents()).to.deep.equal([])
    expect(router.refusalOf('b')?.detail).to.contain('no right')
  })

  it('unloads an adapter that the configuration no longer has', async () => {
    const adapters = [{ name: 'salt', memoryMb: 50 }]
    const under = await startAgentForTest({ models: [modelSpec('m', { adapters })] })
    under.grant(replicaOf(MODEL))
    under.connect().start('a', { adapter: 'salt' })
    await under.advance(500)
    configure(under, 1, [modelSpec('m')])
    await under.advance(200)
    expect(under.agent.report()).to.include({ memoryUsedMb: 400 })
  })
})
