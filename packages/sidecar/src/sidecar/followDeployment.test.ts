import { expect } from 'chai'
import { EitherAsync, Left, Right } from 'purify-ts'
import { createEventLog, createVirtualTimers, makeFault } from '@figmount/base'

import { followDeployment } from './followDeployment.js'

import type { Either } from 'purify-ts'
import type { Fault, InstanceName } from '@figmount/base'
import type { Deployment, FeedPage, FeedRecord, StorePort } from '@figmount/fleet'

const record = (version: number, offset: number): FeedRecord => ({ key: 'config', value: Buffer.from(String(version)), offset })

const away: Either<Fault, FeedPage> = Left(makeFault('unavailable', 'read', 'store', 'no answer'))

/** Sets up an agent that cannot read the store. */
const setUp = () => {
  const timers = createVirtualTimers()
  const read = () => EitherAsync.liftEither(away)
  const store = {
    deploymentFeed: { name: 'op', readNewest: read, readSince: read, readEnd: () => EitherAsync.liftEither(Right(0)) },
    onRestored: () => () => {},
    isDeploymentKey: (key: string) => key === 'config',
    decodeDeployment: (_key: string, value: Uint8Array) => Right({ version: Number(Buffer.from(value).toString()) } as Deployment)
  } as unknown as StorePort
  const events = createEventLog({ instance: 'a' as InstanceName, role: 'agent', timers })
  return followDeployment({ store, timers, events })
}

describe('followDeployment', () => {
  it('applies a configuration sent by a router while the store is unavailable', () => {
    const deployment = setUp()
    deployment.take(record(7, 4))
    expect(deployment.current()?.version).to.equal(7)
    expect(deployment.version()).to.equal(7)
    expect(deployment.copy()?.record.offset).to.equal(4)
    deployment.stop()
  })

  it('ignores a configuration older than the current one', () => {
    const deployment = setUp()
    deployment.take(record(7, 4))
    deployment.take(record(6, 3))
    expect(deployment.current()?.version).to.equal(7)
    deployment.stop()
  })

  it('takes a newer version from a peer that has read an earlier era of the store', () => {
    // Guards against a process that starts after the store has come back from an older copy, and stays with what it reads there.
    const deployment = setUp()
    deployment.take(record(6, 1_000))
    deployment.take(record(7, 4))
    expect(deployment.current()?.version).to.equal(7)
    deployment.stop()
  })

  it('has the configuration record unchanged for its peers, and none before one was received', () => {
    const deployment = setUp()
    expect(deployment.copy()).to.equal(undefined)
    deployment.take({ ...record(8, 9), key: 'other' })
    expect(deployment.copy()).to.equal(undefined)
    deployment.take(record(7, 4))
    expect(deployment.copy()).to.deep.equal({ version: 7, record: record(7, 4) })
    deployment.stop()
  })
})
