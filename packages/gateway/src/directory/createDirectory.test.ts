import { expect } from 'chai'
import { Either } from 'purify-ts'
import { createEventLog, createVirtualTimers, makeFault } from '@figmount/base'
import { RELIST_GRACE_MS } from '@figmount/fleet'

import { viewReplicas } from '../placing/viewServers.js'
import { makeAgentState } from '../testing/makeAgentState.js'
import { makeServerEntry } from '../testing/makeServerEntry.js'
import { createDirectory } from './createDirectory.js'

import type { InstanceName, VirtualTimers } from '@figmount/base'
import type { AgentLoad, FeedRecord, ServerEntry } from '@figmount/fleet'
import type { Directory } from './types.js'

const ADDRESS = 'host:1'

const entryOf = (serverId: string, isDraining = false): ServerEntry =>
  makeServerEntry(serverId, { address: ADDRESS, isDraining, models: [{ name: 'm', adapters: [] }] })

const listed = (serverId: string, isDraining = false): FeedRecord =>
  ({ key: serverId, value: Buffer.from(JSON.stringify(entryOf(serverId, isDraining))), offset: 1 })

const gone = (serverId: string): FeedRecord => ({ key: serverId, value: undefined, offset: 2 })

interface TestDirectory {
  readonly timers: VirtualTimers
  readonly directory: Directory
  readonly ids: () => readonly string[]
  /** Number of log lines for unreadable records. */
  readonly refusedCount: () => number
}

const setUp = (): TestDirectory => {
  const timers = createVirtualTimers()
  const lines: string[] = []
  const directory = createDirectory({
    timers,
    events: createEventLog({ instance: 'r' as InstanceName, role: 'router', timers, writeLine: line => { lines.push(line) } }),
    decodeServer: (key, bytes) => Either.encase(() => JSON.parse(Buffer.from(bytes).toString()) as ServerEntry)
      .mapLeft(error => makeFault('invalid', 'decode', key, error.message)),
    isServiceConfigured: name => name === 's',
    onEntry: () => {}
  })
  return {
    timers,
    directory,
    ids: () => directory.serving('s').map(server => server.entry.serverId),
    refusedCount: () => lines.filter(line => line.includes('recordRefused')).length
  }
}

describe('directory', () => {
  it('uses no server that is draining or no longer listed', () => {
    const { directory, ids } = setUp()
    directory.takeRecords([listed('a'), listed('b'), listed('c')])
    directory.takeRecords([listed('a', true), gone('b')])
    expect(ids()).to.deep.equal(['c'])
  })

  it('uses no server that says that it leaves, whatever the list says', () => {
    // Guards against requests to a leaving server while the store is away, or after its entry was lost and written again.
    const { directory, ids } = setUp()
    directory.takeRecords([listed('a'), listed('b')])
    const start = { serverId: 'a', startedAtUnixMs: undefined }
    expect(directory.noteLeaving(start, 'an answer')).to.equal(true)
    expect(directory.noteLeaving(start, 'an answer')).to.equal(false)
    expect(ids()).to.deep.equal(['b'])
    directory.takeRecords([listed('a')])
    directory.takeRecords([gone('a')])
    directory.takeRecords([listed('a')])
    expect(ids()).to.deep.equal(['b'])
    expect(directory.find('a')?.entry.isDraining).to.equal(true)
  })

  it('uses no server that was listed as draining, whichever entry lists the same start as ready later', () => {
    // Guards against a record from before its leaving that comes by another way than the whole read of a store which has come back from an older copy.
    const { directory, ids } = setUp()
    const list = (startedAtUnixMs: number, isDraining: boolean): void => {
      directory.takeRecords([{ key: 'a', value: Buffer.from(JSON.stringify({ ...entryOf('a', isDraining), startedAtUnixMs })), offset: 1 }])
    }
    list(1_000, false)
    list(1_000, true)
    list(1_000, false)
    expect(ids()).to.deep.equal([])
    list(2_000, false)
    expect(ids()).to.deep.equal(['a'])
  })

  it('uses a server again that has started again after it said that it leaves', () => {
    const { directory, ids } = setUp()
    const listStart = (startedAtUnixMs: number): void => {
      directory.takeRecords([{ key: 'a', value: Buffer.from(JSON.stringify({ ...entryOf('a'), startedAtUnixMs })), offset: 1 }])
    }
    listStart(1_000)
    directory.noteLeaving({ serverId: 'a', startedAtUnixMs: 1_000 }, 'an answer')
    expect(ids()).to.deep.equal([])
    listStart(9_000)
    expect(ids()).to.deep.equal(['a'])
    directory.noteLeaving({ serverId: 'a', startedAtUnixMs: 1_000 }, 'a late notice')
    expect(ids()).to.deep.equal(['a'])
  })

  it('uses no server whose entry was removed for an older heartbeat that is carried out late', () => {
    // Guards against a write of before the removal that counts as the sign of a server that lives.
    const { directory, ids } = setUp()
    const list = (heartbeatNumber: number, startedAtUnixMs = 1_000): void => {
      directory.takeRecords([{ key: 'a', value: Buffer.from(JSON.stringify({ ...entryOf('a'), startedAtUnixMs, heartbeatNumber })), offset: 1 }])
    }
    list(4)
    list(5)
    directory.takeRecords([gone('a')])
    list(4)
    list(5)
    expect(ids()).to.deep.equal([])
    list(6)
    expect(ids()).to.deep.equal(['a'])
    directory.takeRecords([gone('a')])
    list(1, 2_000)
    expect(ids()).to.deep.equal(['a'])
  })

  it('goes by the newest record of a listed server, and by its highest heartbeat once the entry was removed', () => {
    // Guards against an odd number in one entry that shuts a server out, and against two older heartbeats of which one comes before the removal.
    const { directory, ids } = setUp()
    const list = (heartbeatNumber: number, address = 'host:1'): void => {
      directory.takeRecords([{ key: 'a', value: Buffer.from(JSON.stringify({ ...entryOf('a'), startedAtUnixMs: 1_000, heartbeatNumber, address })), offset: 1 }])
    }
    list(7, 'host:2')
    list(5)
    expect(directory.find('a')?.entry.address).to.equal('host:1')
    directory.takeRecords([gone('a')])
    list(6)
    expect(ids()).to.deep.equal([])
    list(8)
    expect(ids()).to.deep.equal(['a'])
  })

  it('stops using a listed server that others know to have left after its entry was written', () => {
    // Guards against a started router that has taken an older heartbeat for a sign of life.
    const { directory, ids } = setUp()
    directory.takeRecords([listed('a'), listed('b'), listed('c')])
    directory.noteLeft({ serverId: 'a', startedAtUnixMs: undefined, lastHeartbeat: 1, earlierTimes: [] }, 'recorded')
    directory.noteLeft({ serverId: 'b', startedAtUnixMs: undefined, lastHeartbeat: 0, earlierTimes: [] }, 'recorded')
    directory.noteLeft({ serverId: 'c', startedAtUnixMs: undefined, lastHeartbeat: undefined, earlierTimes: [] }, 'recorded')
    expect(ids()).to.deep.equal(['b'])
  })

  it('learns that a server leaves before the server is listed', () => {
    const { directory, ids } = setUp()
    directory.noteLeaving({ serverId: 'a', startedAtUnixMs: undefined }, 'another router')
    directory.takeRecords([listed('a'), listed('b')])
    expect(ids()).to.deep.equal(['b'])
  })

  it('keeps servers whose entries expired during an outage of the store', () => {
    // Guards against losing all servers whose entries expire in an outage.
    const { timers, directory, ids } = setUp()
    directory.takeRecords([listed('a'), listed('b')])
    const doubtUntil = (untilMs: number): void => { directory.missingEntries.setDoubt({ untilMs, keepUntilMs: () => Infinity, reason: 'an outage' }) }
    doubtUntil(Infinity)
    timers.advance(8_000)
    doubtUntil(timers.nowMs() + RELIST_GRACE_MS)
    directory.takeKeys(new Set())
    expect(ids()).to.deep.equal(['a', 'b'])
    timers.advance(1_500)
    directory.takeRecords([listed('a')])
    timers.advance(2_000)
    expect(ids()).to.deep.equal(['a'])
  })

  it('gives the time of an agent\'s latest message', () => {
    const { timers, directory } = setUp()
    expect(directory.lastMessageMs(ADDRESS)).to.equal(-Infinity)
    timers.advance(100)
    directory.takeState(ADDRESS, makeAgentState('a'))
    timers.advance(100)
    const stateMs = directory.lastMessageMs(ADDRESS)
    directory.takeLoad(ADDRESS, {} as AgentLoad)
    expect(directory.lastMessageMs(ADDRESS)).to.equal(timers.nowMs())
    expect(directory.lastMessageMs(ADDRESS) - stateMs).to.equal(100)
    directory.loseAgent(ADDRESS)
    expect(directory.lastMessageMs(ADDRESS)).to.equal(-Infinity)
  })

  it('uses no server whose entry is unreadable, until it is readable again', () => {
    // Guards against sending requests to a server that another program listed.
    const { directory, ids } = setUp()
    directory.takeRecords([listed('a'), listed('b')])
    directory.takeRecords([{ key: 'a', value: Buffer.from('{'), offset: 2 }, { key: 'c', value: Buffer.from('\xff'), offset: 3 }, listed('d')])
    expect(ids()).to.deep.equal(['b', 'd'])
    directory.takeRecords([listed('a')])
    expect(ids()).to.deep.equal(['b', 'd', 'a'])
  })

  it('logs an unreadable entry once, however often it is written', () => {
    const { directory, refusedCount } = setUp()
    const unreadable = (key: string, offset: number): FeedRecord => ({ key, value: Buffer.from('{'), offset })
    for (let offset = 1; offset <= 20; offset++) directory.takeRecords([unreadable('a', offset), unreadable('b', offset)])
    expect(refusedCount()).to.equal(2)
    directory.takeRecords([listed('a'), unreadable('a', 30)])
    expect(refusedCount()).to.equal(3)
  })

  it('contains no server of a service that is not configured', () => {
    // Guards against counting another program's server as a replica.
    const { directory } = setUp()
    const foreign: ServerEntry = { ...entryOf('x'), serviceName: 'theirs' }
    directory.takeRecords([listed('a'), { key: 'x', value: Buffer.from(JSON.stringify(foreign)), offset: 1 }])
    expect(directory.entries().map(({ serverId }) => serverId)).to.deep.equal(['a'])
    expect(viewReplicas(directory)).to.deep.equal([])
  })

  it('drops a server if another one has started at its address', () => {
    // Guards against sending requests to an engine that has restarted under another id.
    const { directory, ids } = setUp()
    directory.takeRecords([listed('old')])
    directory.takeState(ADDRESS, makeAgentState('new'))
    expect(ids()).to.deep.equal([])
  })

  it('drops a server that its agent reports as gone', () => {
    const { directory, ids } = setUp()
    directory.takeRecords([listed('old')])
    directory.takeState(ADDRESS, makeAgentState('', { goneStarts: [{ serverId: 'old', startedAtUnixMs: undefined }] }))
    expect(ids()).to.deep.equal([])
  })

  it('uses no server that its agent cannot reach', () => {
    const { directory, ids } = setUp()
    directory.takeRecords([listed('a')])
    directory.takeState(ADDRESS, makeAgentState('a', { isUp: false }))
    expect(ids()).to.deep.equal([])
    directory.loseAgent(ADDRESS)
    expect(ids()).to.deep.equal(['a'])
  })

  it('counts the times in a state from the state\'s arrival', () => {
    // Guards against a load whose expected end is postponed by each later message.
    const { timers, directory } = setUp()
    directory.takeRecords([listed('a')])
    directory.takeState(ADDRESS, makeAgentState('a'))
    timers.advance(500)
    directory.takeLoad(ADDRESS, { type: 'load', runningCount: 1, startingCount: 0 })
    expect(directory.find('a')?.stateAsOfMs).to.equal(0)
    expect(directory.find('a')?.load?.runningCount).to.equal(1)
  })

  it('forgets the cached prefixes of a model that the server no longer holds', () => {
    const { directory } = setUp()
    const parts = [{ partId: 'p', tokenCount: 100 }]
    directory.takeRecords([listed('a')])
    directory.prefixes.remember('a', 'm/', parts)
    expect(directory.prefixes.cachedTokens('a', 'm/', parts)).to.equal(100)
    directory.takeState(ADDRESS, makeAgentState('a', { models: [] }))
    expect(directory.prefixes.cachedTokens('a', 'm/', parts)).to.equal(0)
  })
})
