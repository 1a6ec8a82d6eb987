import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createLaggardNotices } from './createLaggardNotices.js'

const setUp = () => {
  const timers = createVirtualTimers()
  const told: string[] = []
  let own = 3
  const notices = createLaggardNotices({ timers, ownVersion: () => own, tell: (address, version) => { told.push(`${address} ${version}`) } })
  const pass = (durationMs: number): void => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
      timers.advance(100)
      notices.review()
    }
  }
  return { notices, told, pass, take: (version: number) => { own = version } }
}

describe('notices to agents that lack a configuration', () => {
  it('go once to those that have not got it by their own reads', () => {
    // Guards against agents that all wait on dead connections and hear of a change from nobody.
    const { notices, told, pass, take } = setUp()
    for (const address of ['a', 'b', 'c']) notices.noteVersion(address, 3)
    pass(1_000)
    take(5)
    pass(200)
    notices.noteVersion('a', 5)
    pass(2_000)
    expect(told).to.deep.equal(['b 5', 'c 5'])
  })

  it('go again to an agent that was lost, and to none that is ahead', () => {
    const { notices, told, pass } = setUp()
    notices.noteVersion('a', 2)
    notices.noteVersion('b', 4)
    pass(1_000)
    notices.lose('a')
    pass(1_000)
    notices.noteVersion('a', 2)
    pass(1_000)
    expect(told).to.deep.equal(['a 3', 'a 3'])
  })
})
