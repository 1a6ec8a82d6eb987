import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { LOST_ORDER_TTL_MS } from './constants.js'
import { createLostOrders } from './createLostOrders.js'

import type { EngineSpec, Order, ServerReport } from '@figmount/fleet'

const SPEC: EngineSpec = {
  models: ['a', 'b'].map(name => ({ name, weightsMb: 100, coldLoadMs: 6_000, diskLoadMs: 400, memoryLoadMs: 300, adapterMb: 7 })),
  weightsCapacityMb: 250,
  adapterSlots: 2
}

const order = (expectedOrderCount: number, modelName: string, adapterName = '', operation: Order['operation'] = 'load'): Order =>
  ({ operation, modelName, adapterName, expectedOrderCount })

const report = (orderCount: number, held: readonly string[] = []): ServerReport => ({
  startedAtUnixMs: 1,
  orderCount,
  models: held.map(name => ({ name, adapters: ['a1'] })),
  arrivingAdapters: [],
  isBusy: false,
  runningCount: 0,
  startingCount: 0,
  isDraining: false,
  inMemory: [],
  onDisk: []
})

const setUp = (...orders: readonly Order[]) => {
  const timers = createVirtualTimers()
  const lost = createLostOrders(timers)
  for (const given of orders) lost.add('i-1', given, false)
  const reserved = (orderCount: number, held: readonly string[] = [], serverId = 'i-1'): readonly string[] => {
    const { modelsMb, adapterKeys } = lost.reserve(serverId, report(orderCount, held), SPEC)
    return [...modelsMb.keys(), ...adapterKeys]
  }
  return { timers, lost, reserved }
}

describe('lost orders', () => {
  it('reserve nothing within the start that they were sent to', () => {
    // Within one start the count is enough: the next order expects the same count, and only one of the two is carried out.
    const { reserved } = setUp(order(1, 'a'))
    expect(reserved(0)).to.deep.equal([])
  })

  it('reserve room after a restart, before the engine reaches the count that they expect', () => {
    const { lost, reserved } = setUp(order(2, 'a'), order(3, 'b', 'a2'), order(5, 'b'))
    lost.noteRestart()
    expect(reserved(0)).to.deep.equal([])
    expect(reserved(1), 'one may follow the other').to.deep.equal(['a', 'b/a2'])
    expect(reserved(2)).to.deep.equal(['b/a2'])
    expect(reserved(3)).to.deep.equal([])
    expect(reserved(5)).to.deep.equal([])
  })

  it('reserve nothing for held models, for unloads or for another server', () => {
    const { lost, reserved } = setUp(order(1, 'a'), order(2, 'a', 'a1'), order(3, 'b', '', 'unload'))
    lost.noteRestart()
    expect(reserved(0, ['a'])).to.deep.equal([])
    expect(reserved(0, [], 'i-2')).to.deep.equal([])
  })

  it('expire', () => {
    const { timers, lost, reserved } = setUp(order(1, 'a'))
    lost.noteRestart()
    timers.advance(LOST_ORDER_TTL_MS - 1)
    expect(reserved(0)).to.deep.equal(['a'])
    timers.advance(1)
    expect(reserved(0)).to.deep.equal([])
  })

  it('count as sent to an earlier start when they time out after the restart', () => {
    const { lost, reserved } = setUp()
    lost.noteRestart()
    lost.add('i-1', order(1, 'a'), true)
    expect(reserved(0)).to.deep.equal(['a'])
  })
})
