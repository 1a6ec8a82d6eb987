import { expect } from 'chai'
import fc from 'fast-check'

import { startAgentForTest, modelSpec } from '../testing/startAgentForTest.js'
import { adopt, emptyLedger, freeMb, release, reserve, usedMb } from './ledger.js'

import type { ModelId } from '@figmount/base'
import type { OrderFate } from '../testing/createFakeEngine.js'

const MODELS = ['a', 'b', 'c', 'd'] as const
const idOf = (name: string): ModelId => `reader/${name}` as ModelId

const fates = fc.constantFrom<OrderFate>('answer', 'answer', 'answer', 'lose', 'late', 'drop', 'exhausted', 'stale')

const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('start' as const), model: fc.constantFrom(...MODELS), adapter: fc.constantFrom('', 'salt'), version: fc.constantFrom('', 'v2') }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance' as const), durationMs: fc.integer({ min: 10, max: 900 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('fate' as const), fate: fates }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restartEngine' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('outage' as const) }) }
)

describe('memory', () => {
  it('reserves memory only up to the capacity', () => {
    const ledger = reserve(emptyLedger(1_000, 100), { model: idOf('a'), adapter: '', memoryMb: 500 })
    if (!ledger) throw new Error('500 of 900 MB fit')
    expect(freeMb(ledger)).to.equal(400)
    expect(reserve(ledger, { model: idOf('b'), adapter: '', memoryMb: 401 })).to.equal(undefined)
    const withAdapter = adopt(ledger, { model: idOf('a'), adapter: 'salt', memoryMb: 50 })
    expect(usedMb(release(withAdapter, idOf('a'), ''))).to.equal(100)
  })

  // Answers of the engine are lost or late, orders never arrive, the engine restarts. If the agent reserved memory that
  // an earlier order still uses, the engine would be overcommitted and crash with all its requests.
  it('is never overcommitted, whatever the outcome of orders', async function () {
    this.timeout(60_000)
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), async steps => {
      const adapters = [{ name: 'salt', memoryMb: 150 }]
      const under = await startAgentForTest({ models: MODELS.map(name => modelSpec(name, { adapters })) })
      for (const name of MODELS) under.grant({ kind: 'replica', target: idOf(name), slotIndex: 0 })
      const router = under.connect()
      const { engine } = under
      let count = 0
      for (const next of steps) {
        if (next.kind === 'start') router.start(`r${count++}`, { model: idOf(next.model), adapter: next.adapter, version: next.version, remainingMs: 4_000 })
        if (next.kind === 'fate') engine.knobs.fateOf = () => next.fate
        if (next.kind === 'restartEngine') engine.knobs.restart()
        if (next.kind === 'outage') engine.knobs.isDown = !engine.knobs.isDown
        await under.advance(next.kind === 'advance' ? next.durationMs : 10)
        const heldMb = engine.residents().reduce((mb, resident) => mb + resident.memoryMb + resident.adapters.reduce((sum, { memoryMb }) => sum + memoryMb, 0), 0)
        expect(heldMb, 'the ledger counts all that the engine holds').to.be.at.most(under.agent.report().memoryUsedMb)
        expect(engine.peakMb()).to.be.at.most(1_000)
      }
      engine.knobs.fateOf = () => 'answer'
      engine.knobs.isDown = false
      await under.advance(12_000)
      const answered = router.received.filter(({ type }) => type === 'final' || type === 'refused').length
      expect(answered, 'every request is answered or refused').to.equal(count)
      await under.agent.stop()
    }), { numRuns: 25, seed: 7 })
  })
})
