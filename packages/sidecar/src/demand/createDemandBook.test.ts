import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createDemandBook } from './createDemandBook.js'

import type { Demand, ModelDemand } from '@figmount/fleet'

const model = (modelName: string, requestsPerS: number): ModelDemand =>
  ({ modelName, requestsPerS, promptTokensPerS: requestsPerS * 1_000, idleMs: 0, adapterNames: [] })

const demand = (given: Partial<Demand>): Demand => ({ type: 'demand', models: [], replicas: [], ...given })

const setUp = () => {
  const timers = createVirtualTimers()
  return { timers, book: createDemandBook(timers) }
}

describe('demand book', () => {
  it('adds up what routers say', () => {
    const { book } = setUp()
    book.take('r1', demand({ models: [model('m', 2)] }))
    book.take('r2', demand({ models: [model('m', 3)] }))
    expect(book.totalFor('m')).to.deep.include({ requestsPerS: 5, promptTokensPerS: 5_000 })
  })

  it('lets what a router says no more of decay', () => {
    // A router tells of a model only when there are new requests for it. Its silence must not keep an old rate alive.
    const { timers, book } = setUp()
    book.take('r1', demand({ models: [model('m', 2), model('n', 2)] }))
    timers.advance(4_000)
    book.take('r1', demand({ models: [model('n', 2)] }))
    expect(book.totalFor('m').requestsPerS).to.be.closeTo(2 / Math.E, 0.01)
    expect(book.totalFor('n').requestsPerS).to.equal(2)
    expect(book.totalFor('m').idleMs).to.equal(4_000)
  })

  it('keeps runs and replicas that a message leaves out', () => {
    const { book } = setUp()
    book.take('r1', demand({ replicas: [{ modelName: 'm', replicaCount: 3 }], runningModels: ['m'] }))
    book.take('r1', demand({ models: [model('n', 1)] }))
    expect(book.totalFor('m')).to.deep.include({ replicaCount: 3, isRunning: true })
    book.take('r1', demand({ replicas: [{ modelName: 'm', replicaCount: 1 }], runningModels: [] }))
    expect(book.totalFor('m')).to.deep.include({ replicaCount: 1, isRunning: false })
  })

  it('forgets a router that has gone', () => {
    // A router dies with streams running. Without its end the model would count as running for ever, and would never make room.
    const { book } = setUp()
    book.take('r1', demand({ models: [model('m', 2)], runningModels: ['m'] }))
    book.dropRouter('r1')
    expect(book.totalFor('m')).to.deep.include({ requestsPerS: 0, isRunning: false })
  })
})
