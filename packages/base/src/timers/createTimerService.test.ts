import { expect } from 'chai'

import { createTimerService } from './createTimerService.js'

describe('timers in real time', () => {
  it('call all subscribers of a period, also those behind one that throws', async () => {
    // Guards against one fault that ends the heartbeats of all links.
    const listeners = process.listeners('uncaughtException')
    process.removeAllListeners('uncaughtException')
    let thrownCount = 0
    process.on('uncaughtException', () => { thrownCount += 1 })
    const timers = createTimerService()
    let calledCount = 0
    const stops = [timers.every(5, () => { throw new Error('odd') }), timers.every(5, () => { calledCount += 1 })]
    await new Promise(resolve => { setTimeout(resolve, 60) })
    for (const stop of stops) stop()
    process.removeAllListeners('uncaughtException')
    for (const listener of listeners) process.on('uncaughtException', listener)
    expect(calledCount).to.be.greaterThan(1)
    expect(thrownCount).to.be.greaterThan(1)
  })

  it('do not fire at once after the longest delays', async () => {
    // Guards against a time limit in a configuration, longer than Node's timers can wait, that ends each request at once.
    const timers = createTimerService()
    let fired = 0
    const stops = [2 ** 31, 1e308, Infinity].map(delayMs => timers.after(delayMs, () => { fired += 1 }))
    await new Promise(resolve => { setTimeout(resolve, 30) })
    expect(fired).to.equal(0)
    for (const stop of stops) stop()
  })
})
