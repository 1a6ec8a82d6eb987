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
  // The agent is killed and restarted while its engine keeps running. If the model were loaded or unloaded again, it
  // would be cold for its callers although it was never lost.
  it('keeps models that it has a right for loaded over a restart', async () => {
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

  // The log is down, and an agent is killed and restarted beside an engine that holds its model. The agent cannot be
  // announced in the log, and its callers would be refused until the outage ends.
  it('serves the loaded models after a restart while the log is down, and loads nothing', async () => {
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

  // The agent dies during a load. Its next run finds the engine loading; if it did not count that load, it would order
  // a second one or reserve the memory for another model.
  it('follows a load that an earlier run ordered', async () => {
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

  // The engine loads the model but its answer is lost. A caller would wait until its deadline for a model that is ready.
  it('detects a load whose answer was lost', async () => {
    const under = await startAgentForTest()
    under.engine.knobs.fateOf = () => 'lose'
    under.grant(replicaOf(MODEL))
    const router = under.connect()
    router.start('a')
    await under.advance(2_500)
    expect(router.finalOf('a')?.tokenCount).to.equal(3)
    expect(kinds(under)).to.deep.equal([`load ${MODEL}`])
  })

  // The order never reaches the engine. If it were abandoned too early, its memory could be reserved for another model
  // while the order is still in transit; if it were never abandoned, the model would stay cold.
  it('repeats a lost order, but not before its deadline', async () => {
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

  // The engine dies during a load and is back, empty, a second later. Waiting for the order's deadline would delay
  // callers although no load is running.
  it('repeats an order at once after the engine died during it', async () => {
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

  // An operator changes the version while a request runs on the old one. Loading the new version beside the old one would
  // exceed the configured replicas; unloading the old one at once would interrupt the request.
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

  it('unloads a model that has been idle for a long time', async () => {
    const under = await startAgentForTest({ decisions: { keepAlive: view => 1_000 - view.idleMs } })
    under.grant(replicaOf(MODEL))
    under.connect().start('a')
    await under.advance(4_000)
    expect(under.engine.residents()).to.have.length(1)
    await under.advance(2_500)
    expect(under.engine.residents()).to.deep.equal([])
    expect(under.events(AgentEvent.unloadConfirmed.name)[0]).to.include({ memoryMb: 0, memoryCapacityMb: 1_000 })
  })

  // A model with a short reload time and no history is used once a second. If it were unloaded after each answer, every
  // caller would wait for a cold start.
  it('keeps a model that is used repeatedly', async () => {
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

  // An operator revokes a right while its model runs. If the right were released before the unload is confirmed, the
  // next holder would load one replica too many.
  it('releases a revoked right after its runs have ended and the model is unloaded', async () => {
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

  // An agent orders a load and restarts while the order is still in transit, so the engine shows nothing loaded. If the
  // restarted agent released the right at once, the next holder would load the model, and then the late order would load
  // it here as well.
  it('releases no right while an order of an earlier run may be in transit', async () => {
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

  // An operator lowers the maximum number of replicas. If the model stayed loaded until its right is revoked, there would
  // be one replica too many until then.
  it('unloads a replica above a lowered maximum', async () => {
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

  it('unloads an adapter that was removed from the configuration', async () => {
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
