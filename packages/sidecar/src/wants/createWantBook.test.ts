import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createWantBook } from './createWantBook.js'

import type { Want } from '@figmount/fleet'

const want = (wantId: number, given: Partial<Want> = {}): Want =>
  ({ type: 'want', wantId, serverId: 's', modelName: 'm', waitingCount: 1, lateCount: 0, timeLeftMs: 1_000, ...given })

const setUp = () => {
  const timers = createVirtualTimers()
  const book = createWantBook(timers)
  const settled: string[] = []
  const add = (asked: Want): void => book.add('r', asked, (wantId, { isReady, reason }) => { settled.push(`${wantId} ${isReady} ${reason}`) })
  return { timers, book, settled, add }
}

describe('want book', () => {
  it('joins the wants of many routers for one thing', () => {
    const { book, add } = setUp()
    for (const wantId of [1, 2, 3]) add(want(wantId))
    add(want(4, { waitingCount: 0, lateCount: 2 }))
    expect(book.open()).to.deep.equal([{ modelName: 'm', adapterName: '', sinceMs: 0, waitingCount: 3, lateCount: 2 }])
  })

  it('goes on from the time for which it was asked for in vain', () => {
    // Guards against a model that is never loaded, as each caller's wait is too short.
    const { timers, book, add } = setUp()
    timers.advance(20_000)
    add(want(1, { unmetForMs: 6_000 }))
    add(want(2))
    expect(book.open()[0]?.sinceMs).to.equal(14_000)
  })

  it('settles all of them when it is in place', () => {
    const { book, settled, add } = setUp()
    add(want(1))
    add(want(2))
    add(want(3, { adapterName: 'a' }))
    book.review((modelName, adapterName) => modelName === 'm' && adapterName === '')
    expect(settled).to.deep.equal(['1 true in place', '2 true in place'])
    expect(book.open()).to.have.length(1)
  })

  it('forgets what nobody waits for', () => {
    // Guards against loads for callers who have left.
    const { book, settled, add } = setUp()
    add(want(1))
    add(want(2))
    book.drop('r', 1)
    expect(book.open()[0]?.waitingCount).to.equal(1)
    book.drop('other', 2)
    expect(book.open()).to.have.length(1)
    book.drop('r', 2)
    expect(book.open()).to.deep.equal([])
    expect(settled).to.deep.equal([])
  })

  it('forgets the wants of a router that has gone', () => {
    const { book, add } = setUp()
    add(want(1))
    book.add('s', want(1), () => {})
    book.dropRouter('r')
    expect(book.open()[0]?.waitingCount).to.equal(1)
  })

  it('gives up what has run out of time and keeps the rest', () => {
    const { timers, book, settled, add } = setUp()
    add(want(1, { timeLeftMs: 100 }))
    add(want(2))
    timers.advance(150)
    book.review(() => false)
    expect(settled).to.deep.equal(['1 false not in time'])
    expect(book.open()[0]?.waitingCount).to.equal(1)
  })
})
