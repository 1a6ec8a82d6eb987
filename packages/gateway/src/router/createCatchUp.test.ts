import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createCatchUp } from './createCatchUp.js'

const setUp = () => {
  const timers = createVirtualTimers()
  const asked: string[] = []
  let ownOffset = 3
  const catchUp = createCatchUp({ timers, ownOffset: () => ownOffset, ask: address => { asked.push(address) } })
  return { timers, catchUp, asked, learn: (offset: number) => { ownOffset = offset } }
}

describe('catching up with the configuration', () => {
  it('requests a newer configuration from the agent that has it', () => {
    // Guards against a router that gets a change neither from the store nor from relayed records.
    const { timers, catchUp, asked } = setUp()
    catchUp.note('a', 4)
    timers.advance(200)
    expect(asked).to.deep.equal(['a'])
  })

  it('requests nothing if the store delivers the configuration in time', () => {
    const { timers, catchUp, asked, learn } = setUp()
    catchUp.note('a', 4)
    learn(4)
    timers.advance(200)
    catchUp.note('b', 4)
    timers.advance(1_000)
    expect(asked).to.deep.equal([])
  })

  it('asks the next agent when the first one does not answer', () => {
    const { timers, catchUp, asked } = setUp()
    catchUp.note('a', 4)
    catchUp.note('b', 4)
    timers.advance(450)
    catchUp.note('b', 4)
    timers.advance(200)
    expect(asked).to.deep.equal(['a', 'b'])
  })
})
