import { expect } from 'chai'
import { EitherAsync } from 'purify-ts'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { ASK_PERIOD_MS } from './constants.js'
import { createIdentity } from './createIdentity.js'

import type { InstanceName } from '@figmount/base'
import type { EnginePort } from '@figmount/fleet'

const settle = async (): Promise<void> => await new Promise(resolve => { setImmediate(resolve) })

const setUp = () => {
  const timers = createVirtualTimers()
  const answers: Array<(serverId: string) => void> = []
  const engine = {
    readServerId: () => EitherAsync(async () => await new Promise<string>(resolve => { answers.push(resolve) }))
  } as unknown as EnginePort
  const identity = createIdentity({
    engine,
    timers,
    events: createEventLog({ instance: 'a' as InstanceName, role: 'agent', timers }),
    healthPath: () => '/health',
    changed: () => {}
  })
  /** The engine answers the question that was put as the n-th. */
  const answer = async (index: number, serverId: string): Promise<void> => {
    await settle()
    answers[index]?.(serverId)
    await settle()
  }
  return { timers, identity, answer }
}

describe('identity', () => {
  it('asks once and keeps the id with the time of the start', async () => {
    const { identity, answer } = setUp()
    identity.learn(1_000)
    identity.learn(1_000)
    await answer(0, 'i-1')
    expect(identity.current()).to.deep.equal({ serverId: 'i-1', startedAtUnixMs: 1_000 })
  })

  it('names an engine again that is back under its id', async () => {
    // Guards against an engine that gets no orders after a restart.
    const { identity, answer } = setUp()
    identity.learn(1_000)
    await answer(0, 'i-1')
    identity.drop('the engine has restarted')
    expect(identity.current().serverId).to.equal('')
    expect(identity.gone()).to.deep.equal([{ serverId: 'i-1', startedAtUnixMs: 1_000 }])
    identity.learn(2_000)
    await answer(1, 'i-1')
    expect(identity.current()).to.deep.equal({ serverId: 'i-1', startedAtUnixMs: 2_000 })
    expect(identity.gone()).to.deep.equal([{ serverId: 'i-1', startedAtUnixMs: 1_000 }])
  })

  it('names an engine again that was silent and has not restarted', async () => {
    const { identity, answer } = setUp()
    identity.learn(1_000)
    await answer(0, 'i-1')
    identity.drop('no answer')
    identity.learn(1_000)
    await answer(1, 'i-1')
    expect(identity.current()).to.deep.equal({ serverId: 'i-1', startedAtUnixMs: 1_000 })
    expect(identity.gone()).to.deep.equal([])
  })

  it('takes no answer to a question from before the restart', async () => {
    const { timers, identity, answer } = setUp()
    identity.learn(1_000)
    await answer(0, 'i-1')
    identity.drop('no answer')
    identity.learn(1_000)
    identity.drop('the engine has restarted')
    timers.advance(ASK_PERIOD_MS)
    identity.learn(2_000)
    await answer(1, 'i-1')
    expect(identity.current().serverId).to.equal('')
    await answer(2, 'i-2')
    expect(identity.current()).to.deep.equal({ serverId: 'i-2', startedAtUnixMs: 2_000 })
  })
})
