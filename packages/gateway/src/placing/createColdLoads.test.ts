import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { makeAgentState } from '../testing/makeAgentState.js'
import { createColdLoads } from './createColdLoads.js'

const ALONE_MS = 6_000

const setUp = () => {
  const timers = createVirtualTimers()
  return { timers, loads: createColdLoads(timers, () => ALONE_MS) }
}

const loading = (address: string, loadingForMs = 1) =>
  makeAgentState(address, { loadingModel: 'm', isLoadingCold: true, loadingForMs })

const holding = (address: string) => makeAgentState(address, { models: [{ name: 'm', adapters: [] }] })

describe('loads from the weight store', () => {
  it('count from the moment they are requested', () => {
    // Guards against starting more loads than the store carries before the agent's report arrives.
    const { timers, loads } = setUp()
    loads.noteRequested('a')
    expect(loads.count()).to.equal(1)
    loads.takeState('a', loading('a'))
    expect(loads.count()).to.equal(1)
    loads.takeState('a', holding('a'))
    expect(loads.count()).to.equal(0)
    loads.noteRequested('b')
    timers.advance(1_000)
    expect(loads.count()).to.equal(0)
  })

  it('count while they are queued behind another order', () => {
    const { loads } = setUp()
    loads.takeState('a', makeAgentState('a', { queuedModels: ['m'] }))
    expect(loads.count()).to.equal(1)
    loads.takeState('a', makeAgentState('a', { queuedModels: ['m'], onDisk: ['m'] }))
    expect(loads.count()).to.equal(0)
  })

  it('do not count once the agent is lost', () => {
    const { loads } = setUp()
    loads.takeState('a', loading('a'))
    loads.lose('a')
    expect(loads.count()).to.equal(0)
  })

  it('get a lower limit once two of them took twice as long as one', () => {
    const { timers, loads } = setUp()
    const first = loads.limit()
    loads.takeState('a', loading('a'))
    loads.takeState('b', loading('b'))
    timers.advance(2 * ALONE_MS)
    expect(loads.limit()).to.be.below(first)
  })

  it('get no higher limit from one that started alone', () => {
    // Guards against starting ever more loads at a store that carries one.
    const { timers, loads } = setUp()
    const first = loads.limit()
    loads.takeState('a', loading('a'))
    timers.advance(1_000)
    loads.takeState('b', loading('b'))
    timers.advance(ALONE_MS - 1_000)
    loads.takeState('a', holding('a'))
    expect(loads.limit()).to.equal(first)
  })

  it('are ordered by their start, not by the arrival of the reports', () => {
    const { timers, loads } = setUp()
    const first = loads.limit()
    timers.advance(2_000)
    loads.takeState('b', loading('b', 1))
    loads.takeState('a', loading('a', 1_000))
    timers.advance(ALONE_MS - 1_000)
    loads.takeState('a', holding('a'))
    expect(loads.limit()).to.equal(first)
    timers.advance(1_000)
    loads.takeState('b', holding('b'))
    expect(loads.limit()).to.be.above(first)
  })

  it('get a higher limit once two of them took no longer than one', () => {
    const { timers, loads } = setUp()
    const first = loads.limit()
    loads.takeState('a', loading('a'))
    loads.takeState('b', loading('b'))
    timers.advance(ALONE_MS)
    loads.takeState('a', holding('a'))
    expect(loads.limit()).to.be.above(first)
  })
})
