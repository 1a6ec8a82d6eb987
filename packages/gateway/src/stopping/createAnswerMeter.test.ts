import { expect } from 'chai'

import { MAX_ANSWER_KINDS, MIN_KIND_ANSWERS } from './constants.js'
import { createAnswerMeter } from './createAnswerMeter.js'

import type { AnsweredRequest } from './createAnswerMeter.js'

const makeRequest = (modelName: string, outputTokens = 40, name = 'draft'): AnsweredRequest =>
  ({ caller: { modelName, promptTokens: 100, outputTokens }, route: { name } })

describe('the meter of answers', () => {
  it('measures models and sizes apart once they have enough answers', () => {
    const meter = createAnswerMeter()
    for (let count = 0; count < MIN_KIND_ANSWERS; count++) {
      meter.note(makeRequest('m0'), 1_000)
      meter.note(makeRequest('m1', 400), 3_000)
    }
    expect(meter.expectedMs(makeRequest('m0'))).to.be.closeTo(1_100, 1)
    expect(meter.expectedMs(makeRequest('m1', 400))).to.be.closeTo(3_300, 1)
    expect(meter.expectedMs(makeRequest('m2', 400))).to.be.closeTo(3_300, 1)
  })

  it('uses all answers of the route while there are few, and none of another route', () => {
    const meter = createAnswerMeter()
    meter.note(makeRequest('m0'), 3_000)
    expect(meter.expectedMs(makeRequest('m1', 4_000))).to.be.closeTo(3_300, 1)
    expect(meter.expectedMs(makeRequest('m0', 40, 'audit'))).to.equal(0)
  })

  it('forgets the kinds that were answered longest ago', () => {
    // Guards against memory that grows with names.
    const meter = createAnswerMeter()
    meter.note(makeRequest('m0', 40, 'first'), 3_000)
    for (let count = 0; count < MAX_ANSWER_KINDS; count++) meter.note(makeRequest('m0', 40, `r${count}`), 1_000)
    expect(meter.expectedMs(makeRequest('m0', 40, 'first'))).to.equal(0)
  })
})
