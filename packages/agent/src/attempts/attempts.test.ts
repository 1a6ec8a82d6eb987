import { RunState } from '@figmount/schema'
import { expect } from 'chai'

import { MODEL, startAgentForTest } from '../testing/startAgentForTest.js'
import { FINISHED_KEEP_MS, ORPHAN_MS } from './constants.js'

import type { AttemptId, RequestKey } from '@figmount/base'
import type { AgentUnderTest, FakeRouter } from '../testing/startAgentForTest.js'

const started = async (): Promise<{ readonly under: AgentUnderTest, readonly router: FakeRouter }> => {
  const under = await startAgentForTest()
  under.grant({ kind: 'replica', target: MODEL, slotIndex: 0 })
  under.grant({ kind: 'keys', target: MODEL })
  const router = under.connect()
  return { under, router }
}

const framesOf = (router: FakeRouter): readonly number[] =>
  router.received.flatMap(message => message.type === 'tokens' || message.type === 'final' ? [message.frame] : [])

const idOf = (text: string): AttemptId => text as AttemptId

describe('attempts', () => {
  it('number their frames without gaps', async () => {
    const { under, router } = await started()
    router.start('a', { maxTokens: 30 })
    await under.advance(800)
    expect(framesOf(router)).to.deep.equal(framesOf(router).map((_frame, index) => index))
    expect(router.tokensOf('a')).to.have.length(30)
  })

  // The router's connection breaks in the middle of an answer and the router reconnects. Running the attempt again
  // would duplicate tokens; without the stored frames tokens would be missing.
  it('are resumed at a frame over a new link', async () => {
    const { under, router } = await started()
    router.start('a', { maxTokens: 40 })
    await under.advance(400)
    const seen = framesOf(router).length
    expect(seen).to.be.above(3)
    router.cut()
    await under.advance(100)
    const again = under.connect()
    again.send({ type: 'resume', attemptId: idOf('a'), fromFrame: seen })
    await under.advance(600)
    expect([...router.tokensOf('a'), ...again.tokensOf('a')]).to.deep.equal(Array.from({ length: 40 }, (_unused, index) => `wall.${index}`))
    expect(framesOf(again)[0]).to.equal(seen)
  })

  it('are unknown if all their frames were acknowledged or the agent never had them', async () => {
    const { under, router } = await started()
    router.start('a')
    await under.advance(400)
    router.send({ type: 'ack', attemptId: idOf('a'), belowFrame: 100 })
    router.send({ type: 'resume', attemptId: idOf('a'), fromFrame: 0 })
    router.send({ type: 'resume', attemptId: idOf('never'), fromFrame: 0 })
    await under.advance(20)
    expect(router.received.filter(({ type }) => type === 'unknown')).to.deep.equal([
      { type: 'unknown', attemptId: 'a', incarnation: under.incarnation },
      { type: 'unknown', attemptId: 'never', incarnation: under.incarnation }
    ])
  })

  // Two routers follow one attempt and the faster one acknowledges first. Dropping frames after its acknowledgement
  // would leave a gap for the slower one when it reconnects.
  it('keep frames that a second router lacks', async () => {
    const { under, router } = await started()
    router.start('a', { maxTokens: 20 })
    await under.advance(200)
    const slow = under.connect()
    slow.send({ type: 'resume', attemptId: idOf('a'), fromFrame: 0 })
    await under.advance(100)
    slow.cut()
    router.send({ type: 'ack', attemptId: idOf('a'), belowFrame: 5 })
    const third = under.connect()
    third.send({ type: 'resume', attemptId: idOf('a'), fromFrame: 5 })
    await under.advance(20)
    router.send({ type: 'ack', attemptId: idOf('a'), belowFrame: 9 })
    await under.advance(20)
    third.send({ type: 'resume', attemptId: idOf('a'), fromFrame: 5 })
    await under.advance(500)
    expect(third.finalOf('a')?.tokenCount).to.equal(20)
    expect(third.received.some(({ type }) => type === 'unknown')).to.equal(false)
  })

  it('are cancelled at the engine when the last router cancels', async () => {
    const { under, router } = await started()
    router.start('a', { maxTokens: 500 })
    await under.advance(200)
    const second = under.connect()
    second.send({ type: 'resume', attemptId: idOf('a'), fromFrame: 0 })
    await under.advance(20)
    router.send({ type: 'cancel', attemptId: idOf('a') })
    await under.advance(50)
    expect(under.engine.cancelled).to.deep.equal([])
    second.send({ type: 'cancel', attemptId: idOf('a') })
    await under.advance(50)
    expect(under.engine.cancelled).to.deep.equal(['a'])
    expect(under.agent.report().runningCount).to.equal(0)
  })

  it('continue without a router if they are not repeatable', async () => {
    const { under, router } = await started()
    router.start('a', { repeatable: false, maxTokens: 200 })
    router.start('b', { prompt: 'b', maxTokens: 2_000 })
    await under.advance(200)
    router.send({ type: 'cancel', attemptId: idOf('a') })
    router.cut()
    await under.advance(ORPHAN_MS + 500)
    const again = under.connect()
    again.start('c', { repeatable: false, resendCount: 1, maxTokens: 200 })
    await under.advance(100)
    expect(again.finalOf('c')?.tokenCount).to.equal(200)
    expect(under.engine.cancelled).to.deep.equal(['b'])
  })

  it('are refused at their deadline with run state RAN', async () => {
    const { under, router } = await started()
    router.start('a', { maxTokens: 500, remainingMs: 1_000 })
    await under.advance(1_200)
    expect(router.refusalOf('a')?.runState).to.equal(RunState.RAN)
    expect(under.engine.cancelled).to.deep.equal(['a'])
  })

  it('are removed when they expire', async () => {
    const { under, router } = await started()
    router.start('a', { remainingMs: 2_000 })
    await under.advance(2_000 + FINISHED_KEEP_MS + 1_500)
    router.send({ type: 'resume', attemptId: idOf('a'), fromFrame: 0 })
    await under.advance(20)
    expect(router.received.at(-1)?.type).to.equal('unknown')
  })

  // Answers of non-repeatable requests are stored for resends. Without a bound they would fill the process's memory;
  // if an answer were dropped without a record of the run, a resend would run the request a second time.
  it('drop the oldest stored answers beyond the bound and refuse resends as run', async () => {
    const under = await startAgentForTest({ limits: { kept_answers_mb: '0' } })
    under.grant({ kind: 'replica', target: MODEL, slotIndex: 0 })
    under.grant({ kind: 'keys', target: MODEL })
    const router = under.connect()
    router.start('a', { repeatable: false, requestKey: 'k' as RequestKey })
    await under.advance(1_500)
    expect(router.finalOf('a')?.tokenCount).to.equal(3)
    router.start('b', { repeatable: false, requestKey: 'k' as RequestKey, resendCount: 1 })
    await under.advance(100)
    expect(router.refusalOf('b')?.runState).to.equal(RunState.RAN)
    expect(under.engine.runs).to.have.length(1)
  })
})
