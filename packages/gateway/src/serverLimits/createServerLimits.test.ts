import { expect } from 'chai'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createServerLimits } from './createServerLimits.js'

import type { InstanceName } from '@figmount/base'
import type { NamedLimit, ServerAnswer, ServerLimitNotice, ServerStart } from '@figmount/fleet'

const START: ServerStart = { serverId: 'a', startedAtUnixMs: 1_000 }
const PRIORITY = 2
const OK = 200
const UNAVAILABLE = 503

const answer = (limit: NamedLimit, isNotRun = false): ServerAnswer => ({ requestId: '', serverId: '', isSigned: true, isNotRun, isLeaving: false, restMs: 0, limit })
const named = (requestsPerS: number): ServerAnswer => answer({ type: 'named', requestsPerS })
const NONE = answer({ type: 'none' })

const setUp = () => {
  const timers = createVirtualTimers()
  const sent: ServerLimitNotice[] = []
  let routerCount = 1
  const limits = createServerLimits({
    timers,
    events: createEventLog({ instance: 'r' as InstanceName, role: 'router', timers }),
    routerCount: () => routerCount,
    send: notice => { sent.push(notice) },
    random: () => 0
  })
  /** Time until a request may be sent. */
  const waitMs = (priority = PRIORITY): number => limits.openTurn(priority).waitMs(START)
  return { timers, sent, limits, waitMs, setRouterCount: (count: number) => { routerCount = count } }
}

describe('server limits', () => {
  it('hold back what exceeds a named limit', () => {
    const { timers, limits, waitMs } = setUp()
    limits.noteAnswer(START, named(1), OK)
    limits.openTurn(PRIORITY).take(START)
    expect(waitMs()).to.equal(1_000)
    timers.advance(1_000)
    expect(waitMs()).to.equal(0)
  })

  it('are shared by all routers', () => {
    // Guards against routers that each use the whole limit.
    const { limits, waitMs, setRouterCount } = setUp()
    limits.noteAnswer(START, named(1), OK)
    setRouterCount(4)
    limits.openTurn(PRIORITY).take(START)
    expect(waitMs()).to.equal(4_000)
  })

  it('end with an answer that names none', () => {
    const { limits, waitMs } = setUp()
    limits.noteAnswer(START, named(0.2), OK)
    limits.openTurn(PRIORITY).take(START)
    limits.noteAnswer(START, NONE, OK)
    expect(waitMs()).to.equal(0)
  })

  it('do not end with a request that is turned away, or with a value that is unreadable', () => {
    const { limits, waitMs } = setUp()
    limits.noteAnswer(START, named(0.2), OK)
    limits.openTurn(PRIORITY).take(START)
    limits.noteAnswer(START, answer({ type: 'none' }, true), OK)
    limits.noteAnswer(START, answer({ type: 'unreadable' }), OK)
    expect(waitMs()).to.equal(5_000)
  })

  it('go on where they were if a server names its limit in some of its answers only', () => {
    // Guards against a new slot for each answer that names the limit again.
    const { timers, sent, limits, waitMs } = setUp()
    limits.noteAnswer(START, named(0.2), OK)
    limits.openTurn(PRIORITY).take(START)
    for (let count = 0; count < 10; count++) {
      limits.noteAnswer(START, NONE, OK)
      limits.noteAnswer(START, named(0.2), OK)
    }
    expect(waitMs()).to.equal(5_000)
    expect(sent).to.have.length(1)
    timers.advance(600)
    limits.noteAnswer(START, NONE, OK)
    expect(sent).to.have.length(2)
  })

  it('do not pass to another start of the server', () => {
    const { limits } = setUp()
    limits.noteAnswer(START, named(0), OK)
    expect(limits.isLimited(START)).to.equal(true)
    expect(limits.isLimited({ ...START, startedAtUnixMs: 2_000 })).to.equal(false)
  })

  it('are known from other routers, which are told of each change once', () => {
    const { sent, limits, waitMs } = setUp()
    limits.noteAnswer(START, named(1), OK)
    limits.noteAnswer(START, named(1), OK)
    expect(sent).to.deep.equal([{ type: 'serverLimit', start: START, limitPerS: 1 }])
    const other = setUp()
    for (const notice of sent) other.limits.takeNotice(notice)
    other.limits.openTurn(PRIORITY).take(START)
    expect(other.waitMs()).to.be.greaterThan(0)
    expect(other.sent).to.deep.equal([])
    other.limits.takeNotice({ type: 'serverLimit', start: START, limitPerS: undefined })
    expect(other.waitMs()).to.equal(0)
    expect(waitMs()).to.equal(0)
  })

  it('let the most urgent request go first, and earlier ones before later ones', () => {
    const { timers, limits } = setUp()
    limits.noteAnswer(START, named(1), OK)
    limits.openTurn(PRIORITY).take(START)
    const turns = [3, 1, 1].map(priority => limits.openTurn(priority))
    for (const turn of turns) turn.waitFor([START])
    expect(turns.map(turn => turn.waitMs(START))).to.deep.equal([3_000, 1_000, 2_000])
    timers.advance(1_000)
    expect(turns.map(turn => turn.waitMs(START))).to.deep.equal([2_000, 0, 1_000])
    turns[1]?.take(START)
    expect([turns[0], turns[2]].map(turn => turn?.waitMs(START))).to.deep.equal([2_000, 1_000])
  })

  it('forget a request that no longer waits', () => {
    // Guards against a caller that has left and holds up those behind it.
    const { limits, waitMs } = setUp()
    limits.noteAnswer(START, named(1), OK)
    limits.openTurn(PRIORITY).take(START)
    const turn = limits.openTurn(0)
    turn.waitFor([START])
    expect(waitMs()).to.equal(2_000)
    turn.end()
    expect(waitMs()).to.equal(1_000)
  })

  it('give a server the rest that it asks for as it turns a request away', () => {
    // Guards against requests of other callers to a server that has asked the router for rest.
    const { timers, limits, waitMs } = setUp()
    limits.noteAnswer(START, { ...answer({ type: 'none' }, true), restMs: 3_000 }, UNAVAILABLE)
    expect(waitMs()).to.equal(3_000)
    expect(limits.isResting(START)).to.equal(true)
    limits.noteAnswer(START, NONE, OK)
    expect(waitMs()).to.equal(3_000)
    timers.advance(3_000)
    expect(waitMs()).to.equal(0)
    expect(limits.openTurn(PRIORITY).waitMs({ ...START, startedAtUnixMs: 2_000 })).to.equal(0)
  })

  it('take no rest from an answer that is no refusal, and none that ends before the limit allows a request', () => {
    const { timers, limits, waitMs } = setUp()
    limits.noteAnswer(START, { ...NONE, restMs: 3_000 }, OK)
    expect(waitMs()).to.equal(0)
    limits.noteAnswer(START, { ...named(0.1), isNotRun: true, restMs: 1_000 }, UNAVAILABLE)
    limits.openTurn(PRIORITY).take(START)
    timers.advance(1_000)
    expect(waitMs()).to.be.greaterThan(8_000)
  })

  it('let one request end a rest, and the others after its answer', () => {
    // Guards against all requests that wait for the end of a rest being turned away together.
    const { timers, limits, waitMs } = setUp()
    limits.noteAnswer(START, { ...answer({ type: 'none' }, true), restMs: 1_000 }, UNAVAILABLE)
    timers.advance(1_000)
    limits.openTurn(PRIORITY).take(START)
    expect(waitMs()).to.be.greaterThan(0)
    limits.noteAnswer(START, NONE, OK)
    expect(waitMs()).to.equal(0)
  })
})
