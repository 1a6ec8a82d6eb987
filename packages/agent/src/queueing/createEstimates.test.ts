import { createVirtualTimers } from '@figmount/base'
import { expect } from 'chai'

import { aRequest, START_UNIX_MS } from '../testing/startAgentForTest.js'
import { createEstimates } from './createEstimates.js'

describe('estimates', () => {
  it('predict the mean length and an upper bound', () => {
    const estimates = createEstimates(createVirtualTimers(START_UNIX_MS))
    const request = aRequest(START_UNIX_MS, { maxTokens: 100 })
    expect([estimates.expectedTokens(request), estimates.boundTokens(request)]).to.deep.equal([100, 100])
    estimates.noteAnswer(request, 20)
    expect([estimates.expectedTokens(request), estimates.boundTokens(request)]).to.deep.equal([20, 40])
    const short = { ...request, maxTokens: 30 }
    expect([estimates.expectedTokens(short), estimates.boundTokens(short)]).to.deep.equal([20, 30])
  })

  it('include the time to the first token', () => {
    const estimates = createEstimates(createVirtualTimers(START_UNIX_MS))
    const request = aRequest(START_UNIX_MS, { maxTokens: 10 })
    estimates.notePrefill(4)
    expect([estimates.expectedTokens(request), estimates.boundTokens(request)]).to.deep.equal([14, 14])
  })

  it('ignore an answer that was cut off below the mean', () => {
    const estimates = createEstimates(createVirtualTimers(START_UNIX_MS))
    const request = aRequest(START_UNIX_MS, { maxTokens: 100 })
    const short = { ...request, maxTokens: 3 }
    estimates.noteAnswer(short, 3)
    expect(estimates.expectedTokens(request)).to.equal(100)
    estimates.noteAnswer(request, 20)
    estimates.noteAnswer(short, 3)
    expect(estimates.expectedTokens(request)).to.equal(20)
  })
})
