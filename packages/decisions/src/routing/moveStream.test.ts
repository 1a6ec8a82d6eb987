import { expect } from 'chai'

import { moveSlowStream } from './moveStream.js'

const view = {
  isRepeatable: true, doneTokens: 20, expectedTokens: 100, tokenIntervalMs: 300, otherIntervalMs: 30, otherWaitMs: 1_000, remainingMs: 20_000
}

describe('moving a slow stream', () => {
  it('moves a stream that is much faster elsewhere', () => {
    expect(moveSlowStream(view)).to.equal(true)
  })

  it('keeps streams that are nearly done, not repeatable, slow everywhere or too late', () => {
    expect(moveSlowStream({ ...view, doneTokens: 97 })).to.equal(false)
    expect(moveSlowStream({ ...view, isRepeatable: false })).to.equal(false)
    expect(moveSlowStream({ ...view, otherIntervalMs: 250 })).to.equal(false)
    expect(moveSlowStream({ ...view, otherIntervalMs: 0 })).to.equal(false)
    expect(moveSlowStream({ ...view, remainingMs: 3_000 })).to.equal(false)
  })
})
