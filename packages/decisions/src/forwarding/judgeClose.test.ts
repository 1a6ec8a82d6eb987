import { expect } from 'chai'

import { ProbeResult } from '../crashes/judgeBreak.js'
import { CloseVerdict, judgeClose } from './judgeClose.js'

import type { CloseView } from './judgeClose.js'

const view = (more: Partial<CloseView>): CloseView => ({ probe: undefined, isDead: false, ageMs: 0, maxAgeMs: 1_000, ...more })

describe('the close of a connection that may mark the end of an answer', () => {
  it('does if the same server answers afterwards', () => {
    expect(judgeClose(view({ probe: ProbeResult.Alive }))).to.equal(CloseVerdict.Whole)
  })

  it('does not if a later start answers under the same id', () => {
    expect(judgeClose(view({ probe: ProbeResult.Alive, isDead: true }))).to.equal(CloseVerdict.BrokenOff)
  })

  it('does not if the server has ended', () => {
    for (const probe of [ProbeResult.Refused, ProbeResult.OtherServer]) expect(judgeClose(view({ probe }))).to.equal(CloseVerdict.BrokenOff)
    expect(judgeClose(view({ isDead: true }))).to.equal(CloseVerdict.BrokenOff)
  })

  it('is in doubt until the caller can wait no longer, and then does not', () => {
    for (const probe of [undefined, ProbeResult.Unclear]) {
      expect(judgeClose(view({ probe, ageMs: 999 }))).to.equal(CloseVerdict.Open)
      expect(judgeClose(view({ probe, ageMs: 1_000 }))).to.equal(CloseVerdict.BrokenOff)
    }
  })
})
