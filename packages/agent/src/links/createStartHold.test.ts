import { RefusalReason, RunState } from '@figmount/schema'
import { expect } from 'chai'

import { MODEL, modelSpec, startAgentForTest } from '../testing/startAgentForTest.js'
import { START_HOLD_MS } from './constants.js'

import type { AttemptId, LogOffset, ModelId } from '@figmount/base'
import type { AgentUnderTest, FakeRouter } from '../testing/startAgentForTest.js'

const replica = { kind: 'replica', target: MODEL, slotIndex: 0 } as const
const ATTEMPT = 'a' as AttemptId

/** An agent that has not yet read its right, which its router has read. */
const startBehind = async (): Promise<{ readonly under: AgentUnderTest, readonly router: FakeRouter }> => {
  const under = await startAgentForTest()
  const router = under.connect()
  under.log.pauseReads()
  under.grant(replica)
  under.agent.linkContext.onPeerOffset('router-0', under.log.state().nextOffset)
  return { under, router }
}

describe('a start at an agent that is behind its router', () => {
  // A right is granted, and the router reads it first and sends a request at once. The agent would refuse the request
  // for lack of the right, and its caller would retry a second later although the record arrives within 50 ms.
  it('waits until the agent has read the records that its router had read', async () => {
    const { under, router } = await startBehind()
    router.start('a')
    await under.advance(50)
    expect(router.refusalOf('a')).to.equal(undefined)
    under.log.resumeReads()
    await under.advance(500)
    expect(router.finalOf('a')?.tokenCount).to.equal(3)
  })

  // The same before the agent has read the model's configuration. It would refuse the request permanently.
  it('waits for the configuration of a new model', async () => {
    const under = await startAgentForTest()
    const router = under.connect()
    const target = 'reader/n' as ModelId
    under.log.pauseReads()
    under.log.write({ kind: 'config.set', item: 'service/reader', expectedVersion: 1, bodyJson: JSON.stringify({ kind: 'models', models: [modelSpec('m'), modelSpec('n')] }), operatorName: 'op' })
    under.grant({ ...replica, target })
    under.agent.linkContext.onPeerOffset('router-0', under.log.state().nextOffset)
    router.start('a', { model: target })
    await under.advance(50)
    under.log.resumeReads()
    await under.advance(500)
    expect(router.finalOf('a')?.tokenCount).to.equal(3)
  })

  it('makes the agent request the records from its router', async () => {
    const { under, router } = await startBehind()
    const fromOffset = (under.log.state().nextOffset - 1) as LogOffset
    router.start('a')
    router.start('b')
    await under.advance(50)
    expect(router.received.filter(({ type }) => type === 'records.ask')).to.deep.equal([{ type: 'records.ask', fromOffset }])
  })

  it('is refused after the hold time if the records do not arrive', async () => {
    const { under, router } = await startBehind()
    router.start('a')
    await under.advance(START_HOLD_MS + 50)
    expect(router.refusalOf('a')).to.include({ runState: RunState.NOT_RUN, reason: RefusalReason.UNAVAILABLE })
  })

  it('is refused at once by an agent that is not behind', async () => {
    const under = await startAgentForTest()
    const router = under.connect()
    router.start('a')
    await under.advance(20)
    expect(router.refusalOf('a')).to.include({ runState: RunState.NOT_RUN, reason: RefusalReason.UNAVAILABLE })
  })

  it('waits no longer than its deadline allows', async () => {
    const { under, router } = await startBehind()
    router.start('a', { remainingMs: 300 })
    await under.advance(START_HOLD_MS / 2)
    under.log.resumeReads()
    await under.advance(100)
    expect(router.refusalOf('a')).to.include({ runState: RunState.NOT_RUN, reason: RefusalReason.DEADLINE })
  })

  // The link breaks while the start is held. The router resumes the attempt on a new link, is answered `unknown` and may
  // run it elsewhere; if it ran here as well, a non-repeatable request would run twice.
  for (const [name, leave] of [
    ['is unknown on a new link', (under: AgentUnderTest) => { under.connect().send({ type: 'resume', attemptId: ATTEMPT, fromFrame: 0 }) }],
    ['has lost its link', (_under: AgentUnderTest, router: FakeRouter) => { router.cut() }],
    ['is cancelled', (_under: AgentUnderTest, router: FakeRouter) => { router.send({ type: 'cancel', attemptId: ATTEMPT }) }]
  ] as const) {
    it(`does not run once it ${name}`, async () => {
      const { under, router } = await startBehind()
      router.start('a')
      await under.advance(50)
      leave(under, router)
      await under.advance(50)
      under.log.resumeReads()
      await under.advance(500)
      expect(under.events('attemptQueued')).to.have.length(0)
    })
  }
})
