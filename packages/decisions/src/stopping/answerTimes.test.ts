import { expect } from 'chai'

import { expectAnswerMs, noteAnswerTime } from './answerTimes.js'

import type { AnswerTimes } from './answerTimes.js'

const noteAll = (tookMs: readonly number[]): AnswerTimes => tookMs.reduce<AnswerTimes>(noteAnswerTime, [])

describe('the expected time of an answer', () => {
  it('is unknown without a measurement', () => {
    expect(expectAnswerMs([])).to.equal(0)
  })

  it('covers nearly all answers', () => {
    const tookMs = Array.from({ length: 30 }, (_, index) => 1_000 + (index * 37) % 30 * 100)
    const expectedMs = expectAnswerMs(noteAll(tookMs))
    expect(tookMs.filter(value => value > expectedMs).length).to.be.at.most(1)
  })

  it('covers the longest of a few answers', () => {
    // Guards against answers that a stop cuts, as the middle of what was measured counts.
    expect(expectAnswerMs(noteAll([100, 1_000, 5_000]))).to.be.closeTo(5_500, 0.01)
  })

  it('follows a service that becomes slower or faster', () => {
    const slow = noteAll(Array.from({ length: 100 }, () => 4_000))
    expect(expectAnswerMs(slow)).to.be.closeTo(4_400, 0.01)
    const fast = Array.from({ length: 32 }, () => 40).reduce<AnswerTimes>(noteAnswerTime, slow)
    expect(expectAnswerMs(fast)).to.be.closeTo(44, 0.01)
  })
})
