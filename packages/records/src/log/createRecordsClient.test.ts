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
import type { FollowingClient, NewRecord } from './types.js'
import type { LogRecord } from '../fold/types.js'

const turn = async (): Promise<void> => await new Promise(resolve => setImmediate(resolve))

/** Lets virtual time pass in small steps, with the tasks' own turns in between. */
const pass = async (timers: VirtualTimers, durationMs: number): Promise<void> => {
  for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
    await turn()
    timers.advance(50)
  }
  await turn()
}

interface Rig {
  readonly timers: VirtualTimers
  readonly log: FakeLog
  readonly client: (instance: string) => FollowingClient
}

const startRig = (): Rig => {
  const timers = createVirtualTimers(1_000_000)
  const log = createFakeLog(timers)
  const client = (name: string): FollowingClient => {
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

const outcomeOf = async (client: FollowingClient, timers: VirtualTimers, record: NewRecord): Promise<string> => {
  const answer = client.append(record).run()
  await pass(timers, 7_000)
  return (await answer).caseOf({
    Left: fault => `${fault.kind}: ${fault.message}`,
    Right: ({ outcome, offset }) => outcome.applied ? `applied at ${offset}` : `ignored at ${offset}`
  })
}

describe('records client', () => {
  it('answers an append once its own fold has the record', async () => {
    const { timers, client } = startRig()
    const reader = client('r1')
    expect(await outcomeOf(reader, timers, change(0))).to.equal('applied at 0')
    expect(await outcomeOf(reader, timers, change(0))).to.equal('ignored at 1')
    expect(reader.state().items.get('service/reader')?.version).to.equal(1)
    expect(timers.nowMs() - reader.confirmedAtMs()).to.be.below(2_500)
  })

  it('finds a write whose answer was lost, once', async () => {
    // The operator applies a change, the log takes it and its answer is lost. She must be told
    // that it is in force, and it must not be there twice.
    const { timers, log, client } = startRig()
    const writer = client('r1')
    await pass(timers, 200)
    log.trouble.losesAnswers = true
    expect(await outcomeOf(writer, timers, change(0))).to.equal('applied at 0')
    expect(log.records).to.have.length(1)
  })

  it('calls the outcome unknown while the log is down, and appends nothing later', async () => {
    const { timers, log, client } = startRig()
    const writer = client('r1')
    await pass(timers, 200)
    log.trouble.isDown = true
    expect(await outcomeOf(writer, timers, change(0))).to.match(/^timeout: outcome unknown/)
    log.trouble.isDown = false
    await pass(timers, 5_000)
    expect(log.records).to.have.length(0)
  })

  it('repeats an append that failed once the log is back', async () => {
    const { timers, log, client } = startRig()
    const writer = client('r1')
    await pass(timers, 200)
    log.trouble.isDown = true
    const answer = writer.append(change(0)).run()
    await pass(timers, 500)
    log.trouble.isDown = false
    await pass(timers, 5_000)
    expect((await answer).isRight()).to.equal(true)
    expect(log.records).to.have.length(1)
  })

  it('tells a writer that asks again what became of its record', async () => {
    // An agent gives a right back, the log is slow, and the record is read back only after the
    // agent was told that the outcome is unknown. It tries again under the same id for as long
    // as it hears nothing, and must hear of the first copy and not append for ever.
    const { timers, log, client } = startRig()
    const writer = client('r1')
    await pass(timers, 200)
    log.trouble.losesAnswers = true
    log.trouble.staleHead = 0
    const record = { ...change(0), recordId: 'one' } as NewRecord
    expect(await outcomeOf(writer, timers, record)).to.match(/^timeout/)
    log.trouble.staleHead = Infinity
    await pass(timers, 3_000)
    const copyCount = log.records.length
    expect(await outcomeOf(writer, timers, record)).to.equal('applied at 0')
    expect(log.records).to.have.length(copyCount)
    expect(writer.state().items.get('service/reader')?.version).to.equal(1)
  })

  it('shares one append among all that wait meanwhile', async () => {
    const { timers, log, client } = startRig()
    const writer = client('r1')
    const answers = Array.from({ length: 100 }, (_, index) => writer.append(change(0, `s${index}`)).run())
    await pass(timers, 2_000)
    expect((await Promise.all(answers)).every(answer => answer.isRight())).to.equal(true)
    expect(log.appendSizes.length).to.be.at.most(2)
  })

  it('does not count a read that shows an older head', async () => {
    // An agent restarts and is served by a copy of the log that lags behind. If it took that for
    // the present it would load under a slot that has been revoked.
    const { timers, log, client } = startRig()
    const reader = client('r1')
    expect(await outcomeOf(reader, timers, change(0))).to.equal('applied at 0')
    log.trouble.staleHead = 0
    await pass(timers, 1_500)
    const confirmedAtMs = reader.confirmedAtMs()
    await pass(timers, 6_000)
    expect(reader.confirmedAtMs()).to.equal(confirmedAtMs)
    expect(reader.state().items.size).to.equal(1)
  })

  it('goes on behind unreadable records', async () => {
    const { timers, log, client } = startRig()
    await log.calls.append([new Uint8Array([0xc1, 1]), Buffer.from('nonsense')]).run()
    expect(await outcomeOf(client('r1'), timers, change(0))).to.equal('applied at 2')
  })

  it('is rebuilt from a peer while the log is down', async () => {
    const { timers, log, client } = startRig()
    const peer = client('r1')
    await outcomeOf(peer, timers, change(0))
    log.trouble.isDown = true
    const born = client('r2')
    await pass(timers, 1_000)
    expect(born.isReady()).to.equal(false)
    born.offer(peer.rawFrom(0 as LogOffset, 500))
    expect(born.isReady()).to.equal(true)
    expect(born.state()).to.deep.equal(peer.state())
    expect(born.confirmedAtMs()).to.equal(-Infinity)
  })
})

describe('rebuilding after records have expired', () => {
  const fill = async (rig: Rig, writer: FollowingClient): Promise<void> => {
    for (const name of ['one', 'two', 'three']) await outcomeOf(writer, rig.timers, change(0, name))
  }

  const startWithSnapshot = async (): Promise<Rig & { readonly writer: FollowingClient }> => {
    const rig = startRig()
    const writer = rig.client('r1')
    await fill(rig, writer)
    const stop = createSnapshotWriter({ client: writer, timers: rig.timers, events: createEventLog({ instance: 'r1' as InstanceName, role: 'test', timers: rig.timers }), isMyTurn: () => true })
    await pass(rig.timers, 7_000)
    stop()
    return { ...rig, writer }
  }

  it('takes the snapshot and what follows it', async () => {
    // Every process is replaced and the records of the beginning are gone: the new ones must
    // come to the same state as those that read everything.
    const rig = await startWithSnapshot()
    await outcomeOf(rig.writer, rig.timers, change(1, 'two'))
    rig.log.expire(3)
    const born = rig.client('r2')
    await pass(rig.timers, 2_000)
    expect(born.isReady()).to.equal(true)
    expect(born.state()).to.deep.equal(rig.writer.state())
  })

  it('waits for a peer if the only snapshot is incomplete', async () => {
    // The writer of the snapshot died half way and the records below it have expired. Starting
    // from what is left would forget configuration that is in force.
    const rig = startRig()
    const writer = rig.client('r1')
    await fill(rig, writer)
    const half: LogRecord = { kind: 'snapshot.chunk', recordId: 'c0', writer: 'r1' as InstanceName, snapshotId: 's', baseOffset: 3 as LogOffset, index: 0, count: 2, bytes: new Uint8Array(9) }
    await rig.log.calls.append([encodeRecord(half)]).run()
    rig.log.expire(3)
    const born = rig.client('r2')
    await pass(rig.timers, 2_000)
    expect(born.isReady()).to.equal(false)
    born.offer(writer.rawFrom(0 as LogOffset, 500))
    await pass(rig.timers, 2_000)
    expect(born.state()).to.deep.equal(writer.state())
    expect(born.confirmedAtMs()).to.be.above(0)
  })

  it('jumps over records that expired while the log could not be read', async () => {
    // A process is cut off from the log for longer than the retention. What it missed is only in
    // a snapshot; it must take that up and not stand still, nor fold on over the gap.
    const rig = await startWithSnapshot()
    await outcomeOf(rig.writer, rig.timers, change(1, 'two'))
    const follower = createFollower({ onFolded: () => {}, onRebuilt: () => {}, onSnapshotRefused: () => {}, onSnapshotSeen: () => {} })
    follower.takeFromLog(rig.log.records.slice(0, 2), 0 as LogOffset)
    follower.takeFromLog([], 3 as LogOffset)
    expect([follower.isBlocked(), follower.state().nextOffset]).to.deep.equal([true, 2])
    follower.takeFromLog(rig.log.records.slice(3), 3 as LogOffset)
    expect(follower.isBlocked()).to.equal(false)
    expect(follower.state()).to.deep.equal(rig.writer.state())
  })
})
