import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createCrashHistory } from './createCrashHistory.js'

import type { Crash, RequestIdentity } from './types.js'

const request = (contentHash: string, callerId = 'caller'): RequestIdentity => ({ contentHash, callerId })

const crash = (identity: RequestIdentity, startedAtUnixMs: number, ageMs = 0): Crash =>
  ({ identity, start: { serverId: 'a', startedAtUnixMs }, ageMs })

describe('crash history', () => {
  it('counts each start of a server that dies once', () => {
    // Guards against missed crashes of a server that restarts under the same id.
    const history = createCrashHistory(createVirtualTimers())
    for (const startedAtUnixMs of [1_000, 2_000, 2_000, 3_000]) history.note(crash(request('h'), startedAtUnixMs))
    expect(history.countsOf(request('h')).ownCount).to.equal(3)
    expect(history.countsOf(request('other')).ownCount).to.equal(0)
  })

  it('tells callers with the same content apart', () => {
    const history = createCrashHistory(createVirtualTimers())
    for (const startedAtUnixMs of [1_000, 2_000]) history.note(crash(request('h', 'one'), startedAtUnixMs))
    expect(history.countsOf(request('h', 'two'))).to.deep.include({ ownCount: 0, callerCount: 1, startCount: 2 })
  })

  it('does not count against a request that was answered, before the crashes or after', () => {
    // Guards against refusing a call that many send, and that runs beside a deadly one at each death.
    const history = createCrashHistory(createVirtualTimers())
    history.noteAnswer({ identity: request('h', 'one'), ageMs: 500 })
    for (const callerId of ['one', 'two', 'three', 'four']) history.note(crash(request('h', callerId), 1_000))
    for (const callerId of ['one', 'two']) history.note(crash(request('h', callerId), 2_000))
    expect(history.countsOf(request('h', 'one'))).to.deep.include({ ownCount: 0, callerCount: 0, startCount: 0 })
    expect(history.countsOf(request('h', 'two')).ownCount).to.equal(2)
    history.noteAnswer({ identity: request('h', 'two'), ageMs: 0 })
    expect(history.countsOf(request('h', 'two')).ownCount).to.equal(0)
  })

  it('ties two requests that ran at the same deaths, until one was answered', () => {
    const timers = createVirtualTimers()
    const history = createCrashHistory(timers)
    for (const startedAtUnixMs of [1_000, 2_000]) {
      timers.advance(400)
      for (const contentHash of ['deadly', 'harmless']) history.note(crash(request(contentHash), startedAtUnixMs))
    }
    timers.advance(300)
    expect(history.countsOf(request('harmless'))).to.deep.include({ ownCount: 2, isTied: true, sinceLastMs: 300 })
    history.noteAnswer({ identity: request('harmless'), ageMs: 0 })
    expect(history.countsOf(request('deadly'))).to.deep.include({ ownCount: 2, isTied: false })
  })

  it('does not tie a request to one that has missed one of its deaths', () => {
    const history = createCrashHistory(createVirtualTimers())
    for (const startedAtUnixMs of [1_000, 2_000, 3_000]) history.note(crash(request('deadly'), startedAtUnixMs))
    for (const startedAtUnixMs of [1_000, 2_000]) history.note(crash(request('harmless'), startedAtUnixMs))
    expect(history.countsOf(request('deadly')).isTied).to.equal(false)
    expect(history.countsOf(request('harmless')).isTied).to.equal(true)
  })

  it('counts against a request whose answer is long ago', () => {
    const timers = createVirtualTimers()
    const history = createCrashHistory(timers)
    history.noteAnswer({ identity: request('h'), ageMs: 0 })
    timers.advance(121_000)
    for (const startedAtUnixMs of [1_000, 2_000]) history.note(crash(request('h'), startedAtUnixMs))
    expect(history.countsOf(request('h')).ownCount).to.equal(2)
  })

  it('reports an answer once a minute, and only if crashes are known', () => {
    // Guards against a message for each answer to a request that many send.
    const timers = createVirtualTimers()
    const history = createCrashHistory(timers)
    const answer = { identity: request('h'), ageMs: 0 }
    expect(history.noteAnswer(answer)).to.equal(false)
    timers.advance(61_000)
    history.note(crash(request('h'), 1_000))
    expect(history.noteAnswer(answer)).to.equal(true)
    expect(history.noteAnswer(answer)).to.equal(false)
    timers.advance(61_000)
    expect(history.noteAnswer(answer)).to.equal(true)
  })

  it('forgets crashes after a while, however often they are passed on', () => {
    const timers = createVirtualTimers()
    const first = createCrashHistory(timers)
    first.note(crash(request('h'), 1_000))
    timers.advance(119_000)
    const second = createCrashHistory(timers)
    for (const known of first.crashes()) second.note(known)
    expect(second.countsOf(request('h')).ownCount).to.equal(1)
    timers.advance(2_000)
    expect(second.crashes()).to.deep.equal([])
  })

  it('is bounded', () => {
    const history = createCrashHistory(createVirtualTimers())
    for (let index = 0; index < 2_000; index++) history.note(crash(request(`h${index}`), 1_000))
    for (let index = 0; index < 2_000; index++) history.note(crash(request('h', `c${index}`), 1_000))
    for (let index = 0; index < 9_000; index++) history.noteAnswer({ identity: request(`a${index}`), ageMs: 0 })
    expect(history.crashes().length).to.be.at.most(600)
  })
})
