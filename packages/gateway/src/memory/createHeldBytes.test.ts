import { expect } from 'chai'
import { createEventLog, createMetrics, createVirtualTimers } from '@figmount/base'

import { createHeldBytes } from './createHeldBytes.js'

import type { InstanceName } from '@figmount/base'
import type { Hold } from './createHeldBytes.js'

const STALLED_MS = 3_000

const setUp = () => {
  const timers = createVirtualTimers()
  const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers })
  const held = createHeldBytes({ timers, events, metrics: createMetrics(), limitBytes: 100 })
  const granted: string[] = []
  const lost: string[] = []
  const reserve = (name: string, bytes: number): Hold => {
    const hold = held.reserve(bytes, () => { granted.push(name) })
    hold.onStalled(() => { lost.push(name) })
    return hold
  }
  return { timers, reserve, granted, lost }
}

describe('room for bytes held for callers', () => {
  it('is granted in the order of arrival', () => {
    // Guards against long answers that wait for ever behind shorter ones.
    const { reserve, granted } = setUp()
    const first = reserve('a', 60)
    reserve('b', 60)
    reserve('c', 10)
    expect(granted).to.deep.equal(['a'])
    first.release()
    expect(granted).to.deep.equal(['a', 'b', 'c'])
  })

  it('is given back once only, and by one that waits as well', () => {
    // Guards against a count that drifts.
    const { reserve, granted } = setUp()
    const first = reserve('a', 60)
    const second = reserve('b', 60)
    second.release()
    first.release()
    first.release()
    reserve('c', 100)
    reserve('d', 1)
    expect(granted).to.deep.equal(['a', 'c'])
  })

  it('is taken from a holder that has stalled, and only if another one waits', () => {
    // Guards against callers that take all the room and read nothing.
    const { timers, reserve, granted, lost } = setUp()
    reserve('a', 60)
    const moving = reserve('b', 40)
    timers.advance(STALLED_MS)
    expect(lost).to.deep.equal([])
    moving.moved()
    reserve('c', 50)
    timers.advance(300)
    expect({ lost, granted }).to.deep.equal({ lost: ['a'], granted: ['a', 'b', 'c'] })
  })
})
