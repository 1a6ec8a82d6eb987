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
  it('tells its own answers from broken connections', () => {
    const reset = new ConnectError('socket hang up', Code.Aborted, undefined, undefined, Object.assign(new Error('x'), { code: 'ECONNRESET' }))
    const refusal = new ConnectError('connect ECONNREFUSED 1', Code.Unavailable, undefined, undefined, Object.assign(new Error('x'), { code: 'ECONNREFUSED' }))
    const cut = new ConnectError('protocol error: missing EndStreamResponse', Code.InvalidArgument)
    expect([reset, refusal, cut].map(answeredCode)).to.deep.equal([undefined, undefined, undefined])
    expect(answeredCode(new ConnectError('old fence', Code.FailedPrecondition))).to.equal(Code.FailedPrecondition)
    expect([reset, refusal, cut].map(neverSent)).to.deep.equal([false, true, false])
    expect([reset, refusal, cut].map(engineFault('s', 'p')).map(isConnectFailure)).to.deep.equal([false, true, false])
    expect(engineFault('s', 'p')(cut).kind).to.equal('unavailable')
  })

  // Something between agent and engine forgets the connection of a stream. Nothing is closed,
  // so the caller would wait until its deadline though the engine goes on.
  it('streams go on over a new connection after silence', async () => {
    const { under, router } = await running(400)
    under.engine.knobs.silenceOpen()
    await under.advance(4_000)
    expect(under.events('streamResumed')).to.have.length(1)
    await under.advance(1_500)
    expect(router.tokensOf('a')).to.deep.equal(whole(400))
    expect(under.engine.runs).to.have.length(1)
  })

  it('tokens repeated after a resume are dropped', async () => {
    const { under, router } = await running(400)
    under.engine.knobs.repeatOnResume = 3
    under.engine.knobs.silenceOpen()
    await under.advance(6_000)
    expect(router.tokensOf('a')).to.deep.equal(whole(400))
  })

  // The engine process ends and starts anew while requests run. Believed to be loaded still,
  // the model would fail every request; the router must hear at once what it can start elsewhere.
  it('death hands running requests back and loads anew', async () => {
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

  it('absence refuses requests at once as not run', async () => {
    const { under, router } = await running(3)
    under.engine.knobs.isDown = true
    await under.advance(2_500)
    router.start('b', { prompt: 'b' })
    await under.advance(20)
    expect(router.refusalOf('b')?.runState).to.equal(RunState.NOT_RUN)
  })
})
