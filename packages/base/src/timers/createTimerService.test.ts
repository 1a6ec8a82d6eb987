import { expect } from 'chai'

import { createTimerService } from './createTimerService.js'

describe('timers in real time', () => {
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
