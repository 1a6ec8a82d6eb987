import { RefusalReason, RunState } from '@figmount/schema'
import { expect } from 'chai'

import { MODEL, startAgentForTest } from '../testing/startAgentForTest.js'

import type { InstanceName } from '@figmount/base'
import type { AgentUnderTest, FakeRouter } from '../testing/startAgentForTest.js'

const ready = async (): Promise<{ readonly under: AgentUnderTest, readonly router: FakeRouter }> => {
  const under = await startAgentForTest()
  under.grant({ kind: 'replica', target: MODEL, slotIndex: 0 })
  const router = under.connect()
  router.start('warm')
  await under.advance(400)
  return { under, router }
}

const suspectsOf = ({ log }: AgentUnderTest): readonly string[] => [...log.state().suspects.keys()].sort()

describe('suspects', () => {
  // One request crashes the engine while another runs beside it, and both are sent again. The next crash must not affect
  // other requests, and the innocent one must be answered.
  it('run alone: the crashing request is convicted, the other one answered', async () => {
    const { under, router } = await ready()
    under.engine.knobs.poison = 'bomb'
    router.start('a', { prompt: 'bystander', maxTokens: 50 })
    await under.advance(30)
    router.start('x', { prompt: 'bomb', maxTokens: 50 })
    await under.advance(100)
    expect(suspectsOf(under)).to.deep.equal(['bomb', 'bystander'])
    const received = router.received.map(({ type }) => type)
    expect(received.indexOf('suspect')).to.be.below(received.indexOf('refused'))
    router.start('a2', { prompt: 'bystander', maxTokens: 50 })
    router.start('x2', { prompt: 'bomb', maxTokens: 50 })
    router.start('other', { prompt: 'other', maxTokens: 50 })
    await under.advance(4_000)
    expect(router.finalOf('a2')?.tokenCount).to.equal(50)
    expect(router.refusalOf('x2')?.runState).to.equal(RunState.MAY_HAVE_RUN)
    expect(suspectsOf(under)).to.deep.equal(['bomb'])
    expect(under.events('engineDied')).to.have.length(2)
    router.start('x3', { prompt: 'bomb', resendCount: 2 })
    await under.advance(50)
    expect(router.refusalOf('x3')).to.include({ reason: RefusalReason.QUARANTINED, runState: RunState.NOT_RUN })
    if (!router.finalOf('other')) router.start('other2', { prompt: 'other' })
    await under.advance(2_000)
    expect(router.finalOf('other') ?? router.finalOf('other2')).to.not.equal(undefined)
    expect(under.engine.runs.filter(prompt => prompt === 'bomb')).to.have.length(2)
  })

  it('wait for running requests and delay later ones', async () => {
    const { under, router } = await ready()
    router.start('long', { prompt: 'long', maxTokens: 60 })
    await under.advance(50)
    router.start('s', { prompt: 's', suspect: true, maxTokens: 20 })
    await under.advance(50)
    router.start('late', { prompt: 'late', maxTokens: 5 })
    await under.advance(300)
    expect(under.engine.runs).to.deep.equal(['wall', 'long'])
    await under.advance(1_500)
    expect(under.engine.runs).to.deep.equal(['wall', 'long', 's', 'late'])
    expect(router.finalOf('late')?.tokenCount).to.equal(5)
  })

  // The log is down while one request crashes engine after engine. Without reports over links every agent would run it
  // alone once more and lose its engine.
  it('are convicted by reports over links while the log is down', async () => {
    const { under, router } = await ready()
    under.log.isUp = false
    const instance = 'agent-9' as InstanceName
    router.send({ type: 'suspect', fingerprints: ['bomb', 'other'], deathId: 'agent-8/e1', instance })
    router.send({ type: 'suspect', fingerprints: ['bomb'], deathId: 'agent-9/e1', instance })
    router.send({ type: 'suspect', fingerprints: ['bomb'], deathId: 'agent-9/e1', instance })
    router.start('x', { prompt: 'bomb' })
    router.start('y', { prompt: 'other' })
    await under.advance(400)
    expect(router.refusalOf('x')?.reason).to.equal(RefusalReason.QUARANTINED)
    expect(router.finalOf('y')?.tokenCount).to.equal(3)
  })

  it('count as soon as a peer reports them, before the log does', async () => {
    const { under, router } = await ready()
    router.send({ type: 'suspect', fingerprints: ['s'], deathId: 'agent-9/e1', instance: 'agent-9' as InstanceName })
    router.start('long', { prompt: 'long', maxTokens: 60 })
    await under.advance(50)
    router.start('s', { prompt: 's' })
    await under.advance(200)
    expect(under.engine.runs).to.deep.equal(['wall', 'long'])
    await under.advance(1_000)
    expect(router.finalOf('s')?.tokenCount).to.equal(3)
    expect(under.events('suspectCleared')).to.have.length(1)
  })
})
