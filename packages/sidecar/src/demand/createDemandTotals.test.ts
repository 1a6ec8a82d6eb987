import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createDemandTotals } from './createDemandTotals.js'

import type { Demand, ModelDemand } from '@figmount/fleet'

const model = (modelName: string, requestsPerS: number): ModelDemand =>
  ({ modelName, requestsPerS, promptTokensPerS: requestsPerS * 1_000, idleMs: 0, adapterNames: [] })

const demand = (given: Partial<Demand>): Demand => ({ type: 'demand', models: [], replicas: [], ...given })

const setUp = () => {
  const timers = createVirtualTimers()
  return { timers, totals: createDemandTotals(timers) }
}

describe('createDemandTotals', () => {
  it('adds up the demand that routers report', () => {
    const { totals } = setUp()
    totals.take('r1', demand({ models: [model('m', 2)] }))
    totals.take('r2', demand({ models: [model('m', 3)] }))
    expect(totals.totalFor('m')).to.deep.include({ requestsPerS: 5, promptTokensPerS: 5_000 })
  })

  it('decays the demand for a model that a router does not report again', () => {
    // A router reports a model only when it has new requests. Without them, an old rate must not stay in force.
    const { timers, totals } = setUp()
    totals.take('r1', demand({ models: [model('m', 2), model('n', 2)] }))
    timers.advance(4_000)
    totals.take('r1', demand({ models: [model('n', 2)] }))
    expect(totals.totalFor('m').requestsPerS).to.be.closeTo(2 / Math.E, 0.01)
    expect(totals.totalFor('n').requestsPerS).to.equal(2)
    expect(totals.totalFor('m').idleMs).to.equal(4_000)
  })

  it('keeps running models and replica counts that a message leaves out', () => {
    const { totals } = setUp()
    totals.take('r1', demand({ replicas: [{ modelName: 'm', replicaCount: 3 }], runningModels: ['m'] }))
    totals.take('r1', demand({ models: [model('n', 1)] }))
    expect(totals.totalFor('m')).to.deep.include({ replicaCount: 3, isRunning: true })
    totals.take('r1', demand({ replicas: [{ modelName: 'm', replicaCount: 1 }], runningModels: [] }))
    expect(totals.totalFor('m')).to.deep.include({ replicaCount: 1, isRunning: false })
  })

  it('removes the demand of a disconnected router', () => {
    // A router may crash while its streams run. Otherwise the model would count as running for good and never be evicted.
    const { totals } = setUp()
    totals.take('r1', demand({ models: [model('m', 2)], runningModels: ['m'] }))
    totals.dropRouter('r1')
    expect(totals.totalFor('m')).to.deep.include({ requestsPerS: 0, isRunning: false })
  })
})
