import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createListWatch } from './createListWatch.js'

const setUp = () => {
  const timers = createVirtualTimers()
  let askedCount = 0
  const watch = createListWatch(timers, () => { askedCount += 1 })
  const outcomes: boolean[] = []
  const readAfter = (atMs: number): void => { watch.readAfter(atMs).then(isRead => { outcomes.push(isRead) }).catch(() => {}) }
  const settle = async (): Promise<void> => await new Promise(resolve => { setImmediate(resolve) })
  return { timers, watch, outcomes, readAfter, settle, askedCount: () => askedCount }
}

describe('the watch on the age of the list', () => {
  it('counts the age from the start of the newest read', () => {
    // Guards against the time of an answer that counts as that of the list in it.
    const { timers, watch } = setUp()
    expect(watch.ageMs()).to.equal(Infinity)
    timers.advance(5_000)
    watch.noteOther(4_000)
    watch.noteOwn(3_000)
    expect(watch.ageMs()).to.equal(timers.nowMs() - 4_000)
  })

  it('lets a request wait for an own read that began after it', async () => {
    // Guards against a read of others, or one that began before, which may have lain in a socket during a standstill.
    const { timers, watch, outcomes, readAfter, settle, askedCount } = setUp()
    timers.advance(1_000)
    const atMs = timers.nowMs()
    readAfter(atMs)
    watch.noteOther(atMs + 1)
    watch.noteOwn(atMs - 1)
    await settle()
    expect([outcomes, askedCount()]).to.deep.equal([[], 2])
    watch.noteOwn(atMs)
    await settle()
    expect(outcomes).to.deep.equal([true])
  })

  it('knows of a standstill before the timers do, and does not count what others read until it has passed', () => {
    // Guards against a read that has lain in a socket, whose age counts from when it was read there.
    const timers = createVirtualTimers()
    let nowMs = 0
    const watch = createListWatch({ ...timers, nowMs: () => nowMs, unixMs: () => nowMs }, () => {})
    watch.noteOwn(0)
    expect(watch.hasStoodStill()).to.equal(false)
    nowMs = 700
    expect(watch.hasStoodStill()).to.equal(true)
    nowMs = 900
    watch.noteOther(890)
    expect([watch.ageMs(), watch.hasStoodStill()]).to.deep.equal([900, true])
    watch.noteOwn(800)
    expect([watch.ageMs(), watch.hasStoodStill()]).to.deep.equal([100, false])
  })

  it('gives up after a short time', async () => {
    // Guards against a request that waits for a store which does not answer.
    const { timers, outcomes, readAfter, settle } = setUp()
    readAfter(timers.nowMs())
    timers.advance(400)
    await settle()
    expect(outcomes).to.deep.equal([false])
  })
})
