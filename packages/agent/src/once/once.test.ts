import { AUTHORITY_MS, MAX_CLOCK_ERROR_MS, MAX_KEY_LEAD_MS, KEY_RETENTION_MS, MAX_KEY_AGE_MS } from '@figmount/records'
import { RefusalReason, RunState } from '@figmount/schema'
import { expect } from 'chai'

import { aRequest, MODEL, START_UNIX_MS, startAgentForTest } from '../testing/startAgentForTest.js'
import { judgePermit } from './judgePermit.js'

import type { AttemptId, Incarnation, InstanceName, LogOffset, RequestKey } from '@figmount/base'
import type { Permit, PermitReply, RunRequest } from '@figmount/peers'
import type { AgentUnderTest, FakeRouter } from '../testing/startAgentForTest.js'
import type { PermitView } from './types.js'

const MARGIN_MS = AUTHORITY_MS + MAX_KEY_LEAD_MS
const once = (more: Partial<RunRequest> = {}): Partial<RunRequest> => ({ repeatable: false, ...more })

const view: PermitView = {
  issuedAtMs: 100_000,
  resendCount: 1,
  nowUnixMs: 101_000,
  tenure: { fromMs: 57_000 },
  authority: 'fresh',
  isListed: true,
  draining: false,
  isFull: false
}

const stateOf = (more: Partial<PermitView>): RunState | 'grant' => {
  const verdict = judgePermit({ ...view, ...more })
  return verdict.kind === 'grant' ? 'grant' : verdict.refusal.runState
}

const holder = async (): Promise<{ readonly under: AgentUnderTest, readonly router: FakeRouter }> => {
  const under = await startAgentForTest()
  under.grant({ kind: 'replica', target: MODEL, slotIndex: 0 })
  under.grant({ kind: 'keys', target: MODEL })
  return { under, router: under.connect() }
}

const ask = async (under: AgentUnderTest, router: FakeRouter, id: string, executor: string, more: Partial<RunRequest> = {}): Promise<PermitReply> => {
  const askId = router.received.length
  const { prompt: _prompt, doneTokens: _done, ...request } = aRequest(under.timers.unixMs(), once(more))
  router.send({ type: 'permit.ask', askId, attemptId: id as AttemptId, executor: executor as InstanceName, executorIncarnation: 'x' as Incarnation, request })
  await under.advance(20)
  const reply = router.received.find(message => message.type === 'permit.reply' && message.askId === askId)
  if (reply?.type !== 'permit.reply') throw new Error('no reply')
  return reply.reply
}

const permitFor = (under: AgentUnderTest, id: string, more: Partial<Permit> = {}): Permit => ({
  caller: aRequest(0).caller, requestKey: 'k1' as RequestKey, attemptId: id as AttemptId, executor: 'agent-1' as InstanceName, executorIncarnation: under.incarnation, keysHolder: 'agent-2' as InstanceName, keysFence: 9 as LogOffset, ...more
})

describe('agent that permits non-repeatable requests', () => {
  it('decides on keys by tenure, age and authority', () => {
    expect(stateOf({})).to.equal('grant')
    expect(stateOf({ issuedAtMs: 56_999 })).to.equal(RunState.MAY_HAVE_RUN)
    expect(stateOf({ issuedAtMs: 56_999, resendCount: 0 })).to.equal(RunState.NOT_RUN)
    expect(stateOf({ issuedAtMs: 40_000, tenure: { fromMs: 0 } })).to.equal('grant')
    expect(stateOf({ issuedAtMs: 101_000 + MAX_CLOCK_ERROR_MS + 1 })).to.equal(RunState.MAY_HAVE_RUN)
    expect(stateOf({ issuedAtMs: 101_000 + MAX_CLOCK_ERROR_MS + 1, resendCount: 0 })).to.equal(RunState.NOT_RUN)
    expect(stateOf({ nowUnixMs: 100_001 + MAX_KEY_AGE_MS })).to.equal(RunState.MAY_HAVE_RUN)
    expect(stateOf({ tenure: undefined })).to.equal(RunState.MAY_HAVE_RUN)
    expect(stateOf({ authority: 'none' })).to.equal(RunState.MAY_HAVE_RUN)
    expect(stateOf({ authority: 'outage' })).to.equal(RunState.NOT_RUN)
    expect(stateOf({ authority: 'outage', isListed: false })).to.equal(RunState.MAY_HAVE_RUN)
    expect(stateOf({ isFull: true })).to.equal(RunState.NOT_RUN)
  })

  // The caller resends through another router while the first run continues. A second run would bill the request twice;
  // a refusal would lose its answer.
  it('lets a resend join the run and replays the answer', async () => {
    const { under, router } = await holder()
    router.start('a', once({ maxTokens: 20 }))
    await under.advance(250)
    const second = under.connect()
    second.start('b', once({ maxTokens: 20, resendCount: 1 }))
    await under.advance(1_000)
    expect(router.finalOf('a')?.tokenCount).to.equal(20)
    expect(second.tokensOf('b')).to.deep.equal(router.tokensOf('a'))
    router.send({ type: 'ack', attemptId: 'a' as AttemptId, belowFrame: 1_000 })
    await under.advance(60_000)
    const third = under.connect()
    third.start('c', once({ maxTokens: 20, resendCount: 2 }))
    await under.advance(20)
    expect(third.tokensOf('c')).to.have.length(20)
    expect(third.finalOf('c')?.tokenCount).to.equal(20)
    expect(under.engine.runs).to.have.length(1)
  })

  it('answers a known key with its executor', async () => {
    const { under, router } = await holder()
    expect((await ask(under, router, 'a', 'agent-2')).kind).to.equal('granted')
    expect((await ask(under, router, 'a', 'agent-2')).kind).to.equal('granted')
    expect(await ask(under, router, 'b', 'agent-3', { resendCount: 1 })).to.deep.equal({ kind: 'known', attemptId: 'a', executor: 'agent-2' })
  })

  // The executor could not reach its engine. If its permit stayed, every resend would be directed to a run that never
  // started.
  it('grants a withdrawn key to another attempt', async () => {
    const { under, router } = await holder()
    await ask(under, router, 'a', 'agent-2')
    const key = { target: MODEL, caller: aRequest(0).caller, requestKey: 'k1' as RequestKey }
    router.send({ type: 'permit.withdraw', ...key, attemptId: 'other' as AttemptId })
    expect((await ask(under, router, 'b', 'agent-3', { resendCount: 1 })).kind).to.equal('known')
    router.send({ type: 'permit.withdraw', ...key, attemptId: 'a' as AttemptId })
    expect((await ask(under, router, 'b', 'agent-3', { resendCount: 1 })).kind).to.equal('granted')
  })

  it('refuses as not run while the engine is unreachable, and runs a resend afterwards', async () => {
    const { under, router } = await holder()
    router.start('a', once({ requestKey: 'warm' as RequestKey }))
    await under.advance(500)
    under.engine.knobs.isDown = true
    router.start('b', once())
    await under.advance(300)
    expect(router.refusalOf('b')).to.include({ runState: RunState.NOT_RUN })
    under.engine.knobs.isDown = false
    await under.advance(3_000)
    router.start('c', once({ resendCount: 1 }))
    await under.advance(600)
    // Resent without a permit: a holder that is also the executor grants it itself.
    expect(router.finalOf('c')?.tokenCount).to.equal(3)
    expect(under.engine.runs).to.have.length(2)
  })

  it('refuses a permit for an earlier run of the agent', async () => {
    const { under, router } = await holder()
    router.start('a', once(), permitFor(under, 'a', { executorIncarnation: 'inc-before' as Incarnation }))
    const requestKey = 'k2' as RequestKey
    router.start('b', once({ requestKey }), permitFor(under, 'b', { requestKey }))
    await under.advance(600)
    expect(router.refusalOf('a')?.runState).to.equal(RunState.MAY_HAVE_RUN)
    expect(router.finalOf('b')?.tokenCount).to.equal(3)
  })

  // The holder restarts with an empty ledger, and a key that its earlier run permitted is sent again. If the key were
  // treated as new, the request would run a second time.
  it('renews its tenure after a restart', async () => {
    const { under, router } = await holder()
    router.start('a', once({ requestKey: 'old' as RequestKey }))
    await under.advance(500)
    const issuedAtMs = under.timers.unixMs()
    const again = await under.restartAgent()
    await again.advance(200)
    const other = again.connect()
    other.start('b', once({ requestKey: 'old' as RequestKey, issuedAtMs, resendCount: 1 }))
    await again.advance(100)
    expect(other.refusalOf('b')).to.include({ runState: RunState.MAY_HAVE_RUN })
    await again.advance(MARGIN_MS)
    expect((await ask(again, other, 'c', 'agent-2', { requestKey: 'new' as RequestKey })).kind).to.equal('granted')
    expect(again.engine.runs).to.have.length(1)
  })

  it('refuses new keys while the log is unreachable', async () => {
    const { under, router } = await holder()
    under.log.isUp = false
    await under.advance(AUTHORITY_MS + 500)
    const reply = await ask(under, router, 'a', 'agent-2')
    expect(reply).to.deep.include({ kind: 'refused' })
    if (reply.kind !== 'refused') return
    expect(reply.refusal).to.include({ runState: RunState.NOT_RUN, reason: RefusalReason.LOG_UNREACHABLE })
    under.log.isUp = true
    await under.advance(300)
    expect((await ask(under, router, 'b', 'agent-2')).kind).to.equal('granted')
  })

  it('removes keys after the window', async () => {
    const { under, router } = await holder()
    await ask(under, router, 'a', 'agent-2')
    under.timers.advance(KEY_RETENTION_MS + 11_000)
    const reply = await ask(under, router, 'b', 'agent-3', { issuedAtMs: START_UNIX_MS + 300, resendCount: 1 })
    expect(reply).to.deep.include({ kind: 'refused' })
  })
})
