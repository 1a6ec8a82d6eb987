import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createUnmetModels } from './createUnmetModels.js'

describe('a model whose requests are not served', () => {
  it('accumulates the waiting time of successive callers', () => {
    const timers = createVirtualTimers()
    const unmet = createUnmetModels(timers)
    expect(unmet.note('m')).to.equal(0)
    timers.advance(4_000)
    expect(unmet.note('m')).to.equal(4_000)
    timers.advance(4_000)
    expect(unmet.note('m')).to.equal(8_000)
    expect(unmet.note('other')).to.equal(0)
  })

  it('has its waiting time counted from zero again after it was served', () => {
    const timers = createVirtualTimers()
    const unmet = createUnmetModels(timers)
    unmet.note('m')
    timers.advance(3_000)
    unmet.settle('m')
    expect(unmet.note('m')).to.equal(0)
  })

  it('has its waiting time counted from zero again if no caller has returned for a while', () => {
    const timers = createVirtualTimers()
    const unmet = createUnmetModels(timers)
    unmet.note('m')
    timers.advance(10_000)
    expect(unmet.note('m')).to.equal(0)
  })
})
