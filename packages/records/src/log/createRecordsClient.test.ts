import { expect } from 'chai'
import { createEventLog, createMetrics, createVirtualTimers } from '@figmount/base'

import { encodeRecord } from './codec.js'
import { createFollower } from './createFollower.js'
import { createRecordsClient } from './createRecordsClient.js'
import { createFakeLog } from '../testing/createFakeLog.js'
import { setConfig, twoReplicaService } from '../testing/records.js'
import { createSnapshotWriter } from '../snapshot/createSnapshotWriter.js'

import type { Incarnation, InstanceName, LogOffset, VirtualTimers } from '@figmount/base'
import type { FakeLog } from '../testing/createFakeLog.js'
import type { SnapshotTrackingClient, NewRecord } from './types.js'
import type { LogRecord } from '../fold/types.js'

const nextTurn = async (): Promise<void> => await new Promise(resolve => setImmediate(resolve))

/** Advances virtual time in small steps and lets pending tasks run in between. */
const passTime = async (timers: VirtualTimers, durationMs: number): Promise<void> => {
  for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
    await nextTurn()
    timers.advance(50)
  }
  await nextTurn()
}

interface TestSetup {
  readonly timers: VirtualTimers
  readonly log: FakeLog
  readonly client: (instance: string) => SnapshotTrackingClient
}

const startTest = (): TestSetup => {
  const timers = createVirtualTimers(1_000_000)
  const log = createFakeLog(timers)
  const client = (name: string): SnapshotTrackingClient => {
    const instance = name as InstanceName
    const events = createEventLog({ instance, role: 'test', timers })
    return createRecordsClient({ address: 'fake', instance, incarnation: `i-${name}` as Incarnation, timers, events, metrics: createMetrics(), log: log.calls })
  }
  return { timers, log, client }
}

const change = (expectedVersion: number, name = 'reader'): NewRecord => {
  const { recordId, ...record } = setConfig(`service/${name}`, expectedVersion, twoReplicaService) as Extract<LogRecord, { kind: 'config.set' }>
  return record
}

const outcomeOf = async (client: SnapshotTrackingClient, timers: VirtualTimers, record: NewRecord): Promise<string> => {
  const answer = client.append(record).run()
  await passTime(timers, 7_000)
  return (await answer).caseOf({
    Left: fault => `${fault.kind}: ${fault.message}`,
    Right: ({ outcome, offset }) => outcome.applied ? `applied at ${offset}` : `ignored at ${offset}`
  })
}

describe('records client', () => {
  it('resolves an append once its own fold includes the record', async () => {
    const { timers, client } = startTest()
    const reader = client('r1')
    expect(await outcomeOf(reader, timers, change(0))).to.equal('applied at 0')
    expect(await outcomeOf(reader, timers, change(0))).to.equal('ignored at 1')
    expect(reader.state().items.get('service/reader')?.version).to.equal(1)
    expect(timers.nowMs() - reader.confirmedAtMs()).to.be.below(2_500)
  })

  it('finds a record whose append answer was lost, and does not append it twice', async () => {
    // An operator applies a change, the log stores it, and the answer is lost. The operator must get the
    // answer that it is in force, and the log must not contain it twice.
    const { timers, log, client } = startTest()
    const writer = client('r1')
    await passTime(timers, 200)
    log.trouble.losesAnswers = true
    expect(await outcomeOf(writer, timers, change(0))).to.equal('applied at 0')
    expect(log.records).to.have.length(1)
  })

  it('reports the outcome as unknown while the log is down, and appends nothing later', async () => {
    const { timers, log, client } = startTest()
    const writer = client('r1')
    await passTime(timers, 200)
    log.trouble.isDown = true
    expect(await outcomeOf(writer, timers, change(0))).to.match(/^timeout: outcome unknown/)
    log.trouble.isDown = false
    await passTime(timers, 5_000)
    expect(log.records).to.have.length(0)
  })

  it('repeats an append that failed once the log is back', async () => {
    const { timers, log, client } = startTest()
    const writer = client('r1')
    await passTime(timers, 200)
    log.trouble.isDown = true
    const answer = writer.append(change(0)).run()
    await passTime(timers, 500)
    log.trouble.isDown = false
    await passTime(timers, 5_000)
    expect((await answer).isRight()).to.equal(true)
    expect(log.records).to.have.length(1)
  })

  it('returns the outcome of the first copy to a writer that repeats an append', async () => {
    // An agent releases a right, the log is slow, and the record is read back only after the agent's append
    // returned an unknown outcome. The agent retries under the same id until it gets an outcome, so it must
    // get that of the first copy instead of appending without end.
    const { timers, log, client } = startTest()
    const writer = client('r1')
    await passTime(timers, 200)
    log.trouble.losesAnswers = true
    log.trouble.staleHead = 0
    const record = { ...change(0), recordId: 'one' } as NewRecord
    expect(await outcomeOf(writer, timers, record)).to.match(/^timeout/)
    log.trouble.staleHead = Infinity
    await passTime(timers, 3_000)
    const copyCount = log.records.length
    expect(await outcomeOf(writer, timers, record)).to.equal('applied at 0')
    expect(log.records).to.have.length(copyCount)
    expect(writer.state().items.get('service/reader')?.version).to.equal(1)
  })

  it('batches the appends that wait for a call', async () => {
    const { timers, log, client } = startTest()
    const writer = client('r1')
    const answers = Array.from({ length: 100 }, (_, index) => writer.append(change(0, `s${index}`)).run())
    await passTime(timers, 2_000)
    expect((await Promise.all(answers)).every(answer => answer.isRight())).to.equal(true)
    expect(log.appendSizes.length).to.be.at.most(2)
  })

  it('does not count a read with an older head as confirmed', async () => {
    // An agent restarts and reads from a copy of the log that lags behind. If it took that state for
    // current, it would load a model under a slot that has been revoked.
    const { timers, log, client } = startTest()
    const reader = client('r1')
    expect(await outcomeOf(reader, timers, change(0))).to.equal('applied at 0')
    log.trouble.staleHead = 0
    await passTime(timers, 1_500)
    const confirmedAtMs = reader.confirmedAtMs()
    await passTime(timers, 6_000)
    expect(reader.confirmedAtMs()).to.equal(confirmedAtMs)
    expect(reader.state().items.size).to.equal(1)
  })

  it('continues after unreadable records', async () => {
    const { timers, log, client } = startTest()
    await log.calls.append([new Uint8Array([0xc1, 1]), Buffer.from('nonsense')]).run()
    expect(await outcomeOf(client('r1'), timers, change(0))).to.equal('applied at 2')
  })

  it('is rebuilt from a peer while the log is down', async () => {
    const { timers, log, client } = startTest()
    const peer = client('r1')
    await outcomeOf(peer, timers, change(0))
    log.trouble.isDown = true
    const newClient = client('r2')
    await passTime(timers, 1_000)
    expect(newClient.isReady()).to.equal(false)
    newClient.offer(peer.rawFrom(0 as LogOffset, 500))
    expect(newClient.isReady()).to.equal(true)
    expect(newClient.state()).to.deep.equal(peer.state())
    expect(newClient.confirmedAtMs()).to.equal(-Infinity)
  })
})

describe('rebuilding after records have expired', () => {
  const appendThreeItems = async (setup: TestSetup, writer: SnapshotTrackingClient): Promise<void> => {
    for (const name of ['one', 'two', 'three']) await outcomeOf(writer, setup.timers, change(0, name))
  }

  const startWithSnapshot = async (): Promise<TestSetup & { readonly writer: SnapshotTrackingClient }> => {
    const setup = startTest()
    const writer = setup.client('r1')
    await appendThreeItems(setup, writer)
    const stop = createSnapshotWriter({ client: writer, timers: setup.timers, events: createEventLog({ instance: 'r1' as InstanceName, role: 'test', timers: setup.timers }), isMyTurn: () => true })
    await passTime(setup.timers, 7_000)
    stop()
    return { ...setup, writer }
  }

  it('adopts the snapshot and folds the records after it', async () => {
    // All processes are replaced after the first records have expired. The new ones must reach the same
    // state as those that read every record.
    const setup = await startWithSnapshot()
    await outcomeOf(setup.writer, setup.timers, change(1, 'two'))
    setup.log.expire(3)
    const newClient = setup.client('r2')
    await passTime(setup.timers, 2_000)
    expect(newClient.isReady()).to.equal(true)
    expect(newClient.state()).to.deep.equal(setup.writer.state())
  })

  it('waits for a peer if the only snapshot is incomplete', async () => {
    // The writer of the snapshot died before its last chunk, and the records below the snapshot have expired.
    // Starting from the remaining records would lose configuration that is in force.
    const setup = startTest()
    const writer = setup.client('r1')
    await appendThreeItems(setup, writer)
    const firstChunk: LogRecord = { kind: 'snapshot.chunk', recordId: 'c0', writer: 'r1' as InstanceName, snapshotId: 's', baseOffset: 3 as LogOffset, index: 0, count: 2, bytes: new Uint8Array(9) }
    await setup.log.calls.append([encodeRecord(firstChunk)]).run()
    setup.log.expire(3)
    const newClient = setup.client('r2')
    await passTime(setup.timers, 2_000)
    expect(newClient.isReady()).to.equal(false)
    newClient.offer(writer.rawFrom(0 as LogOffset, 500))
    await passTime(setup.timers, 2_000)
    expect(newClient.state()).to.deep.equal(writer.state())
    expect(newClient.confirmedAtMs()).to.be.above(0)
  })

  it('skips records that expired while the log could not be read', async () => {
    // A process is cut off from the log for longer than the retention, so only a snapshot has the missing
    // records. The process must adopt it, and neither stay behind nor fold across the gap.
    const setup = await startWithSnapshot()
    await outcomeOf(setup.writer, setup.timers, change(1, 'two'))
    const follower = createFollower({ onFolded: () => {}, onRebuilt: () => {}, onSnapshotRefused: () => {}, onSnapshotSeen: () => {} })
    follower.takeFromLog(setup.log.records.slice(0, 2), 0 as LogOffset)
    follower.takeFromLog([], 3 as LogOffset)
    expect([follower.isBlocked(), follower.state().nextOffset]).to.deep.equal([true, 2])
    follower.takeFromLog(setup.log.records.slice(3), 3 as LogOffset)
    expect(follower.isBlocked()).to.equal(false)
    expect(follower.state()).to.deep.equal(setup.writer.state())
  })
})
