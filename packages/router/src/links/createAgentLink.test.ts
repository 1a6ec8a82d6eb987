import { expect } from 'chai'

import { createTestBench } from '../testing/createTestBench.js'
import { IDLE_LINK_MS, MAX_IDLE_LINKS, REPORTS_PER_SECOND } from './constants.js'

import type { AttemptId, InstanceName } from '@figmount/base'

const A1 = 'a1' as InstanceName
const ATTEMPT = 'r1/1/9' as AttemptId
const FRAME = { type: 'tokens', attemptId: ATTEMPT, frame: 0, firstTokenIndex: 0, tokens: ['a'] } as const

describe('link to an agent', () => {
  it('is opened on demand and closed when idle', async () => {
    const bench = createTestBench({ a1: () => {} })
    const link = bench.links.linkTo(A1)
    expect(bench.agentOf('a1').received()).to.have.length(0)
    await bench.finish(link.whenOpen(1_000).run())
    expect(link.view().isOpen).to.equal(true)
    await bench.settle(IDLE_LINK_MS + 2_000)
    expect(link.view().isOpen).to.equal(false)
  })

  it('is closed if it is the longest idle link above the limit', async () => {
    const names = Array.from({ length: MAX_IDLE_LINKS + 1 }, (_, index) => `a${index}`)
    const bench = createTestBench(Object.fromEntries(names.map(name => [name, () => {}])))
    for (const name of names) {
      await bench.finish(bench.links.linkTo(name as InstanceName).whenOpen(1_000).run())
      await bench.settle(10)
    }
    await bench.settle(2_000)
    expect(bench.links.views().filter(view => !view.isOpen).map(view => view.instance)).to.deep.equal(['a0'])
  })

  // At peak load a router has hundreds of links on which answers stream. That traffic already keeps them
  // alive; an additional heartbeat on each link would take 30 times the bytes allowed for control traffic.
  it('limits report requests to a total rate over all links', async () => {
    const names = Array.from({ length: 100 }, (_, index) => `a${index}`)
    const bench = createTestBench(Object.fromEntries(names.map(name => [name, () => {}])))
    const channels = await Promise.all(names.map(async name => {
      const link = bench.links.linkTo(name as InstanceName)
      await bench.finish(link.whenOpen(1_000).run())
      return link.openAttempt(`r1/1/${name}` as AttemptId, () => 0)
    }))
    const heartbeatCount = (): number => names.reduce((sum, name) => sum + bench.agentOf(name).receivedOf('heartbeat').length, 0)
    const flow = async (seconds: number): Promise<void> => {
      for (let tick = 0; tick < seconds * 2; tick += 1) {
        for (const channel of channels) channel.send({ type: 'ack', attemptId: ATTEMPT, belowFrame: tick })
        await bench.settle(500)
      }
    }
    await flow(2)
    const before = heartbeatCount()
    await flow(20)
    expect(heartbeatCount() - before).to.be.within(100, 20 * REPORTS_PER_SECOND)
    const silentBefore = heartbeatCount()
    await bench.settle(2_000)
    expect(heartbeatCount() - silentBefore, 'links on which nothing is sent any more').to.be.at.least(100)
  })

  it('reports an unreachable agent to waiting requests', async () => {
    const bench = createTestBench({ a1: () => {} })
    bench.agentOf('a1').setDown(true)
    const opened = await bench.finish(bench.links.linkTo(A1).whenOpen(1_000).run())
    expect(opened.isLeft()).to.equal(true)
    expect(bench.links.viewOf(A1)?.unreachableSinceMs).to.be.a('number')
  })

  // The link is cut while a non-repeatable request runs. A second `start` on the new link could run the
  // request twice, so only `resume` may be sent.
  it('resumes every started attempt on a new link and starts none again', async () => {
    const bench = createTestBench({ a1: () => {} })
    const link = bench.links.linkTo(A1)
    await bench.finish(link.whenOpen(1_000).run())
    const begun = link.openAttempt(ATTEMPT, () => 7)
    link.openAttempt('r1/1/10' as AttemptId, () => 0)
    const { run } = bench.admitted()
    begun.begin({ type: 'start', attemptId: ATTEMPT, request: { ...run, doneTokens: [], suspect: false, remainingMs: 1 } })
    bench.agentOf('a1').cut()
    await bench.settle(1_000)
    expect(bench.agentOf('a1').receivedOf('start')).to.have.length(1)
    expect(bench.agentOf('a1').receivedOf('resume')).to.deep.equal([{ type: 'resume', attemptId: ATTEMPT, fromFrame: 7 }])
  })

  // A caller reads slowly while its answer streams. The router must not buffer the whole answer: frames
  // above the limit are dropped here and stay stored at the agent.
  it('drops frames for a slow reader and reports the overflow once the reader has caught up', async () => {
    const bench = createTestBench({ a1: () => {} })
    const link = bench.links.linkTo(A1)
    await bench.finish(link.whenOpen(1_000).run())
    const channel = link.openAttempt(ATTEMPT, () => 0)
    for (let frame = 0; frame < 1_000; frame += 1) bench.agentOf('a1').send({ ...FRAME, frame })
    await bench.settle(50)
    let taken = 0
    while (await channel.take(0)) taken += 1
    expect(taken).to.equal(256)
    expect(channel.hasOverflowed()).to.equal(true)
    expect(channel.hasOverflowed()).to.equal(false)
  })

  // An agent of a newer version sends a message type that this version does not have. The link must stay open.
  it('stays open after an unknown message', async () => {
    const bench = createTestBench({ a1: () => {} })
    const link = bench.links.linkTo(A1)
    await bench.finish(link.whenOpen(1_000).run())
    const channel = link.openAttempt(ATTEMPT, () => 0)
    bench.agentOf('a1').send({ type: 'news' } as never)
    bench.agentOf('a1').send(FRAME)
    await bench.settle(50)
    expect(await channel.take(0)).to.deep.equal(FRAME)
    expect(bench.events.recent().some(event => event.name === 'badInput' && event.detail === 'news')).to.equal(true)
  })

  // The platform restarts an agent's process in the same slot after the agent announced that it leaves.
  // The outdated announcement must not keep new work away from it.
  it('clears the leaving state of an agent some time after its link has closed', async () => {
    const bench = createTestBench({ a1: () => {} })
    const link = bench.links.linkTo(A1)
    await bench.finish(link.whenOpen(1_000).run())
    bench.agentOf('a1').send({ type: 'leaving', instance: A1 })
    await bench.settle(10)
    expect(link.view().leavingUntilMs).to.equal(Infinity)
    bench.agentOf('a1').setDown(true)
    bench.agentOf('a1').cut()
    await bench.settle(11_000)
    expect(link.view().leavingUntilMs).to.be.lessThan(bench.timers.nowMs())
  })
})
