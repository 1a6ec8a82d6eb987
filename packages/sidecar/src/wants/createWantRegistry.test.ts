import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createWantRegistry } from './createWantRegistry.js'

import type { Want } from '@figmount/fleet'

const want = (wantId: number, given: Partial<Want> = {}): Want =>
  ({ type: 'want', wantId, serverId: 's', modelName: 'm', waitingCount: 1, lateCount: 0, timeLeftMs: 1_000, ...given })

const setUp = () => {
  const timers = createVirtualTimers()
  const registry = createWantRegistry(timers)
  const settled: string[] = []
  const add = (given: Want): void => registry.add('r', given, (wantId, { isReady, reason }) => { settled.push(`${wantId} ${isReady} ${reason}`) })
  return { timers, registry, settled, add }
}

describe('createWantRegistry', () => {
  it('merges the wants of several routers for the same model', () => {
    const { registry, add } = setUp()
    for (const wantId of [1, 2, 3]) add(want(wantId))
    add(want(4, { waitingCount: 0, lateCount: 2 }))
    expect(registry.open()).to.deep.equal([{ modelName: 'm', adapterName: '', sinceMs: 0, waitingCount: 3, lateCount: 2 }])
  })

  it('counts the time for which a router has wanted the model before', () => {
    // Guards against a model that is never loaded because each single caller waits too short a time.
    const { timers, registry, add } = setUp()
    timers.advance(20_000)
    add(want(1, { unmetForMs: 6_000 }))
    add(want(2))
    expect(registry.open()[0]?.sinceMs).to.equal(14_000)
  })

  it('settles all wants for a model once it is loaded', () => {
    const { registry, settled, add } = setUp()
    add(want(1))
    add(want(2))
    add(want(3, { adapterName: 'a' }))
    registry.review((modelName, adapterName) => modelName === 'm' && adapterName === '')
    expect(settled).to.deep.equal(['1 true in place', '2 true in place'])
    expect(registry.open()).to.have.length(1)
  })

  it('removes an entry when its last want is dropped', () => {
    // Guards against loads for callers that have disconnected.
    const { registry, settled, add } = setUp()
    add(want(1))
    add(want(2))
    registry.drop('r', 1)
    expect(registry.open()[0]?.waitingCount).to.equal(1)
    registry.drop('other', 2)
    expect(registry.open()).to.have.length(1)
    registry.drop('r', 2)
    expect(registry.open()).to.deep.equal([])
    expect(settled).to.deep.equal([])
  })

  it('removes the wants of a disconnected router', () => {
    const { registry, add } = setUp()
    add(want(1))
    registry.add('s', want(1), () => {})
    registry.dropRouter('r')
    expect(registry.open()[0]?.waitingCount).to.equal(1)
  })

  it('settles expired wants and leaves the others open', () => {
    const { timers, registry, settled, add } = setUp()
    add(want(1, { timeLeftMs: 100 }))
    add(want(2))
    timers.advance(150)
    registry.review(() => false)
    expect(settled).to.deep.equal(['1 false not in time'])
    expect(registry.open()[0]?.waitingCount).to.equal(1)
  })
})
