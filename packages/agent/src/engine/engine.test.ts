import { Code, ConnectError } from '@connectrpc/connect'
import { RunState } from '@figmount/schema'
import { expect } from 'chai'

import { MODEL, startAgentForTest } from '../testing/startAgentForTest.js'
import { answeredCode, engineFault, isConnectFailure, neverSent } from './engineFaults.js'

import type { AgentUnderTest, FakeRouter } from '../testing/startAgentForTest.js'

const running = async (maxTokens = 100): Promise<{ readonly under: AgentUnderTest, readonly router: FakeRouter }> => {
  const under = await startAgentForTest()
  under.grant({ kind: 'replica', target: MODEL, slotIndex: 0 })
  under.grant({ kind: 'keys', target: MODEL })
  const router = under.connect()
  router.start('a', { maxTokens })
  await under.advance(400)
  return { under, router }
}

const whole = (count: number): readonly string[] => Array.from({ length: count }, (_unused, index) => `wall.${index}`)

describe('engine', () => {
  it('distinguishes the answers of an engine from broken connections', () => {
    const reset = new ConnectError('socket hang up', Code.Aborted, undefined, undefined, Object.assign(new Error('x'), { code: 'ECONNRESET' }))
    const refusal = new ConnectError('connect ECONNREFUSED 1', Code.Unavailable, undefined, undefined, Object.assign(new Error('x'), { code: 'ECONNREFUSED' }))
    const cut = new ConnectError('protocol error: missing EndStreamResponse', Code.InvalidArgument)
    const unframed = new ConnectError('protocol error: answer without a length', Code.Unavailable)
    expect([reset, refusal, cut, unframed].map(answeredCode)).to.deep.equal([undefined, undefined, undefined, undefined])
    expect(answeredCode(new ConnectError('old fence', Code.FailedPrecondition))).to.equal(Code.FailedPrecondition)
    expect([reset, refusal, cut].map(neverSent)).to.deep.equal([false, true, false])
    expect([reset, refusal, cut].map(engineFault('s', 'p')).map(isConnectFailure)).to.deep.equal([false, true, false])
    expect(engineFault('s', 'p')(cut).kind).to.equal('unavailable')
  })

  // A device between agent and engine drops a stream's connection without closing it. The caller would wait until its
  // deadline although the engine keeps generating.
  it('resumes a stream over a new connection after silence', async () => {
    const { under, router } = await running(400)
    under.engine.knobs.silenceOpen()
    await under.advance(4_000)
    expect(under.events('streamResumed')).to.have.length(1)
    await under.advance(1_500)
    expect(router.tokensOf('a')).to.deep.equal(whole(400))
    expect(under.engine.runs).to.have.length(1)
  })

  it('drops tokens that are repeated after a resume', async () => {
    const { under, router } = await running(400)
    under.engine.knobs.repeatOnResume = 3
    under.engine.knobs.silenceOpen()
    await under.advance(6_000)
    expect(router.tokensOf('a')).to.deep.equal(whole(400))
  })

  // The engine process restarts while requests run. If the agent assumed that the model is still loaded, every request
  // would fail; the router must learn at once which requests it can start elsewhere.
  it('refuses running requests when the engine dies, and loads their model again', async () => {
    const { under, router } = await running()
    router.start('once', { repeatable: false, prompt: 'flag', maxTokens: 100 })
    await under.advance(100)
    under.engine.knobs.restart()
    await under.advance(100)
    expect(router.refusalOf('a')?.runState).to.equal(RunState.MAY_HAVE_RUN)
    expect(router.refusalOf('once')?.runState).to.equal(RunState.MAY_HAVE_RUN)
    expect(router.tokensOf('a').length).to.be.above(5)
    router.start('b', { prompt: 'b' })
    await under.advance(1_000)
    expect(router.finalOf('b')?.tokenCount).to.equal(3)
    expect(under.engine.orders.map(({ kind }) => kind)).to.deep.equal(['load', 'load'])
  })

  it('refuses requests as not run while the engine is unreachable', async () => {
    const { under, router } = await running(3)
    under.engine.knobs.isDown = true
    await under.advance(2_500)
    router.start('b', { prompt: 'b' })
    await under.advance(20)
    expect(router.refusalOf('b')?.runState).to.equal(RunState.NOT_RUN)
  })
})
