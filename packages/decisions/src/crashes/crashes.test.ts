import { expect } from 'chai'

import { BreakVerdict, judgeBreak, MAX_BREAK_AGE_MS, ProbeResult } from './judgeBreak.js'
import { judgeRequest } from './judgeRequest.js'
import { mayHaveDied } from './mayHaveDied.js'

describe('a broken run', () => {
  const view = { probe: undefined, hasLeftInOrder: false, isReplaced: false, isUnlisted: false, ageMs: 0 }

  it('shows a crash if the address refuses connections or has another server', () => {
    expect(judgeBreak({ ...view, probe: ProbeResult.Refused })).to.equal(BreakVerdict.Crash)
    expect(judgeBreak({ ...view, probe: ProbeResult.OtherServer })).to.equal(BreakVerdict.Crash)
    expect(judgeBreak({ ...view, isReplaced: true })).to.equal(BreakVerdict.Crash)
  })

  it('shows nothing if its server answers', () => {
    // Guards against harmless requests that are refused because a living server lost their answers.
    expect(judgeBreak({ ...view, probe: ProbeResult.Alive, isUnlisted: true })).to.equal(BreakVerdict.Harmless)
  })

  it('shows nothing if its server had left in order', () => {
    // Guards against refusing the callers of a rolling replacement.
    expect(judgeBreak({ ...view, probe: ProbeResult.Refused, hasLeftInOrder: true })).to.equal(BreakVerdict.Harmless)
  })

  it('stays open at a silent server until its entry goes', () => {
    // Guards against counting a cut link as a death, and against missing a death in silence.
    const silent = { ...view, probe: ProbeResult.Unclear, ageMs: 3_000 }
    expect(judgeBreak(silent)).to.equal(BreakVerdict.Open)
    expect(judgeBreak({ ...silent, isUnlisted: true })).to.equal(BreakVerdict.Crash)
    expect(judgeBreak({ ...silent, ageMs: MAX_BREAK_AGE_MS })).to.equal(BreakVerdict.Harmless)
  })
})

describe('a run without a complete answer', () => {
  it('may have cost its server, unless its caller left early', () => {
    expect(mayHaveDied({ hasLeft: false, waitedMs: 20, leftMs: 900 })).to.equal(true)
    expect(mayHaveDied({ hasLeft: true, waitedMs: 300, leftMs: 900 })).to.equal(false)
    expect(mayHaveDied({ hasLeft: true, waitedMs: 1_200, leftMs: 900 })).to.equal(true)
    expect(mayHaveDied({ hasLeft: true, waitedMs: 300, leftMs: 20 })).to.equal(true)
  })
})

describe('a request', () => {
  const view = { ownCount: 0, callerCount: 0, startCount: 0, isTied: false, sinceLastMs: 5_000 }

  it('is not run again after two servers died under it', () => {
    expect(judgeRequest({ ...view, ownCount: 1, callerCount: 1, startCount: 1 })).to.deep.equal({ type: 'run' })
    expect(judgeRequest({ ...view, ownCount: 2, callerCount: 1, startCount: 2 })).to.deep.equal({ type: 'deadly' })
  })

  it('is run although servers died under another caller\'s request with the same content', () => {
    // Guards against refusing harmless calls with the same path and no body.
    expect(judgeRequest({ ...view, callerCount: 1, startCount: 4 })).to.deep.equal({ type: 'run' })
    expect(judgeRequest({ ...view, ownCount: 1, callerCount: 2, startCount: 4 })).to.deep.equal({ type: 'run' })
  })

  it('is not run again after servers died under three callers', () => {
    // Guards against a deadly request whose caller reaches the routers from a new address each time.
    expect(judgeRequest({ ...view, callerCount: 3, startCount: 3 })).to.deep.equal({ type: 'deadly' })
    expect(judgeRequest({ ...view, callerCount: 3, startCount: 1 }), 'callers that one death has hit').to.deep.equal({ type: 'run' })
  })

  it('waits if another one was running at each of its deaths, and is run again', () => {
    // Guards against refusing a call that many send, and that was running beside a deadly one before it was ever answered.
    const tied = { ...view, ownCount: 2, callerCount: 1, startCount: 2, isTied: true }
    expect(judgeRequest({ ...tied, sinceLastMs: 300 })).to.deep.equal({ type: 'wait', waitMs: 700 })
    expect(judgeRequest(tied)).to.deep.equal({ type: 'run' })
    expect(judgeRequest({ ...tied, ownCount: 4, startCount: 4 })).to.deep.equal({ type: 'deadly' })
  })
})
