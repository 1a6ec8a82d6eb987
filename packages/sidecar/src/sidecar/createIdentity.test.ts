import { expect } from 'chai'
import { EitherAsync } from 'purify-ts'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { ID_QUERY_PERIOD_MS } from './constants.js'
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
  /** Answers the id query with this index. */
  const answer = async (index: number, serverId: string): Promise<void> => {
    await settle()
    answers[index]?.(serverId)
    await settle()
  }
  return { timers, identity, answer }
}

describe('createIdentity', () => {
  it('queries the id once and keeps it with the start time', async () => {
    const { identity, answer } = setUp()
    identity.identify(1_000)
    identity.identify(1_000)
    await answer(0, 'i-1')
    expect(identity.current()).to.deep.equal({ serverId: 'i-1', startedAtUnixMs: 1_000 })
  })

  it('identifies an engine that has restarted under the same id', async () => {
    // Guards against an engine that gets no orders after a restart.
    const { identity, answer } = setUp()
    identity.identify(1_000)
    await answer(0, 'i-1')
    identity.drop('the engine has restarted')
    expect(identity.current().serverId).to.equal('')
    expect(identity.gone()).to.deep.equal([{ serverId: 'i-1', startedAtUnixMs: 1_000 }])
    identity.identify(2_000)
    await answer(1, 'i-1')
    expect(identity.current()).to.deep.equal({ serverId: 'i-1', startedAtUnixMs: 2_000 })
    expect(identity.gone()).to.deep.equal([{ serverId: 'i-1', startedAtUnixMs: 1_000 }])
  })

  it('identifies an engine again that did not answer for a while and has not restarted', async () => {
    const { identity, answer } = setUp()
    identity.identify(1_000)
    await answer(0, 'i-1')
    identity.drop('no answer')
    identity.identify(1_000)
    await answer(1, 'i-1')
    expect(identity.current()).to.deep.equal({ serverId: 'i-1', startedAtUnixMs: 1_000 })
    expect(identity.gone()).to.deep.equal([])
  })

  it('ignores the answer to a query from before the restart', async () => {
    const { timers, identity, answer } = setUp()
    identity.identify(1_000)
    await answer(0, 'i-1')
    identity.drop('no answer')
    identity.identify(1_000)
    identity.drop('the engine has restarted')
    timers.advance(ID_QUERY_PERIOD_MS)
    identity.identify(2_000)
    await answer(1, 'i-1')
    expect(identity.current().serverId).to.equal('')
    await answer(2, 'i-2')
    expect(identity.current()).to.deep.equal({ serverId: 'i-2', startedAtUnixMs: 2_000 })
  })
})
