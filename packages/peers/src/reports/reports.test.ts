import { expect } from 'chai'
import fc from 'fast-check'

import { createDeltaReporter } from './createDeltaReporter.js'
import { mergeReport } from './mergeReport.js'

import type { LogOffset, ModelId } from '@figmount/base'
import type { AgentReport, ModelReport } from '../messages/types.js'

const SEED = 20_261_202

const modelOf = (index: number, state: ModelReport['state'], runningCount: number): ModelReport => ({
  model: `s/m${index}` as ModelId, slotIndex: 0, fence: 1 as LogOffset, state, version: 'v', adapters: [], queuedCount: 0, runningCount, readyInMs: 0
})

const reportOf = (sequence: number, models: readonly ModelReport[]): AgentReport => ({
  sequence, draining: false, runningCount: 0, queuedCount: 0, batchSize: 1, queuedSeconds: 0, tokenIntervalMs: 10, memoryCapacityMb: 1, memoryUsedMb: 0, models
})

const modelSets = fc.array(
  fc.uniqueArray(fc.tuple(fc.nat({ max: 5 }), fc.constantFrom('cold', 'ready'), fc.nat({ max: 2 })), { selector: ([index]) => index }),
  { minLength: 1, maxLength: 8 }
)

describe('partial reports', () => {
  it('give the receiver the same models as the sender', () => {
    fc.assert(fc.property(modelSets, sets => {
      const thin = createDeltaReporter()
      let known: AgentReport | undefined
      for (const [sequence, set] of sets.entries()) {
        const whole = reportOf(sequence, set.map(([index, state, runningCount]) => modelOf(index, state, runningCount)))
        const sent = thin(whole)
        if (sent) known = mergeReport(known, sent)
        expect(known?.models).to.have.deep.members([...whole.models])
      }
    }), { seed: SEED, numRuns: 200 })
  })

  it('are skipped when nothing changed, and contain one model when one changed', () => {
    const thin = createDeltaReporter()
    const models = Array.from({ length: 20 }, (_, index) => modelOf(index, 'cold', 0))
    expect(thin(reportOf(0, models))?.models).to.have.length(20)
    expect(thin({ ...reportOf(1, models), tokenIntervalMs: 10.5 })).to.equal(undefined)
    expect(thin(reportOf(2, [modelOf(0, 'ready', 1), ...models.slice(1)]))?.models).to.have.length(1)
  })
})
