import { expect } from 'chai'

import { createVirtualTimers } from './createVirtualTimers.js'

describe('virtual timers', () => {
  it('fire in order of their due time', () => {
    const timers = createVirtualTimers()
    const fired: string[] = []
    timers.after(20, () => { fired.push('late') })
    timers.after(10, () => { fired.push('early') })
    timers.advance(30)
    expect(fired).to.deep.equal(['early', 'late'])
  })

  it('repeat until unsubscribed', () => {
    const timers = createVirtualTimers()
    let count = 0
    const stop = timers.every(10, () => { count += 1 })
    timers.advance(35)
    stop()
    timers.advance(100)
    expect(count).to.equal(3)
  })
})
