import { expect } from 'chai'

import { orderEvents } from './orderEvents.js'

import type { AttemptId, EventRecord, InstanceName } from '@figmount/base'

const event = (instance: string, name: string, atUnixMs: number, sequence: number, attemptId = 'r/1/1'): EventRecord => ({
  number: 1, name, instance: instance as InstanceName, role: 'x', sequence, clock: 2 * sequence + (instance === 'a' ? 1 : 0), atUnixMs, attemptId: attemptId as AttemptId
})

const names = (events: readonly EventRecord[]): readonly string[] => orderEvents(events).map(timed => timed.event.name)

describe('orderEvents', () => {
  it('orders by time when clocks agree', () => {
    expect(names([event('a', 'attemptQueued', 20, 0), event('r', 'requestSent', 10, 0)]))
      .to.deep.equal(['requestSent', 'attemptQueued'])
  })

  // The agent's clock is behind the router's: by time alone, the agent queues the attempt 5 s before the router sends it.
  // The cause must still come first.
  it('puts causes before effects when clocks differ', () => {
    const events = [
      event('a', 'attemptQueued', 5_000, 0), event('a', 'attemptFinished', 5_100, 1),
      event('r', 'requestSent', 10_000, 0), event('r', 'requestAnswered', 10_200, 1)
    ]
    expect(names(events)).to.deep.equal(['requestSent', 'attemptQueued', 'attemptFinished', 'requestAnswered'])
  })

  it('keeps the order of a process whose clock is set back', () => {
    expect(names([event('a', 'first', 9_000, 0), event('a', 'second', 1_000, 1)])).to.deep.equal(['first', 'second'])
  })

  it('keeps the runs of a restarted process apart', () => {
    // A process is killed and restarted under the same name, and numbers its events from 0 again. If both runs were ordered by that
    // number together, their events would mix and all get the time of the latest one.
    const timed = orderEvents([event('a', 'first', 10, 0), event('a', 'second', 20, 1), event('a', 'third', 500, 0), event('a', 'fourth', 510, 1)])
    expect(timed.map(({ event: { name }, atMs }) => ({ name, atMs }))).to.deep.equal([
      { name: 'first', atMs: 10 }, { name: 'second', atMs: 20 }, { name: 'third', atMs: 500 }, { name: 'fourth', atMs: 510 }
    ])
  })

  it('ends when pairs contradict each other', () => {
    const events = [
      event('a', 'attemptQueued', 0, 0), event('a', 'attemptFinished', 9_000, 1),
      event('r', 'requestSent', 5_000, 0), event('r', 'requestAnswered', 6_000, 1)
    ]
    expect(names(events)).to.have.length(4)
  })
})
