import { expect } from 'chai'
import { Right } from 'purify-ts'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { heldModel } from '../placing/viewServers.js'
import { makeAgentState } from '../testing/makeAgentState.js'
import { makeServerEntry } from '../testing/makeServerEntry.js'
import { createDirectory } from './createDirectory.js'

import type { InstanceName } from '@figmount/base'
import type { AgentState, ServerEntry, ServerStart } from '@figmount/fleet'
import type { Directory } from './types.js'

const ADDRESS = 'host:1'
const PARTS = [{ partId: 'p', tokenCount: 100 }]

const first: ServerStart = { serverId: 'a', startedAtUnixMs: 1_000 }
const second: ServerStart = { serverId: 'a', startedAtUnixMs: 2_000 }

const setUp = () => {
  const timers = createVirtualTimers()
  const directory = createDirectory({
    timers,
    events: createEventLog({ instance: 'r' as InstanceName, role: 'router', timers }),
    decodeServer: (_key, bytes) => Right(JSON.parse(Buffer.from(bytes).toString()) as ServerEntry),
    isServiceConfigured: () => true,
    onEntry: () => {}
  })
  let offset = 0
  /** Takes a list entry of this start. */
  const list = (start: ServerStart, models: readonly string[] = [], more: Partial<ServerEntry> = {}): void => {
    const entry = makeServerEntry(start.serverId, { ...start, address: ADDRESS, models: models.map(name => ({ name, adapters: [] })), ...more })
    directory.takeRecords([{ key: entry.serverId, value: Buffer.from(JSON.stringify(entry)), offset: offset++ }])
  }
  const remove = (): void => { directory.takeRecords([{ key: 'a', value: undefined, offset: offset++ }]) }
  const report = (start: ServerStart, given: Partial<AgentState> = {}): void => {
    directory.takeState(ADDRESS, makeAgentState(start.serverId, { startedAtUnixMs: start.startedAtUnixMs, ...given }))
  }
  return { timers, directory, list, remove, report }
}

const holds = (directory: Directory, modelName: string): boolean => {
  const server = directory.serving('s')[0]
  return server !== undefined && heldModel(server, modelName) !== undefined
}

const cachedTokens = (directory: Directory): number => directory.prefixes.cachedTokens('a', 'm/', PARTS)

describe('directory when a server restarts under the same id', () => {
  it('does not list it again by a late entry of an earlier start once it has left', () => {
    // Guards against requests to a server whose removal the store has accepted, as an earlier start's write arrives seconds later.
    const { timers, directory, list } = setUp()
    list(first, ['m'])
    list(second, ['m'])
    directory.takeRecords([{ key: 'a', value: undefined, offset: 10 }])
    timers.advance(5_000)
    expect(directory.serving('s')).to.have.length(0)
    list(first, ['m'], { heartbeatNumber: 50 })
    expect(directory.serving('s')).to.have.length(0)
    list({ serverId: 'a', startedAtUnixMs: 3_000 }, ['m'])
    expect(directory.serving('s')).to.have.length(1)
  })

  it('does not serve an earlier start by a late entry while the later one leaves', () => {
    // Guards against the same by a server that has said that it leaves.
    const { directory, list } = setUp()
    list(first, ['m'])
    list(second, ['m'])
    directory.noteLeaving(second, 'its answers say that it leaves')
    directory.takeRecords([{ key: 'a', value: undefined, offset: 10 }])
    list(first, ['m'])
    expect(directory.serving('s')).to.have.length(0)
  })

  it('lists a server whose clock was set back once late writes are over', () => {
    // Guards against a server that is never used, as its start seems to be an earlier one.
    const { timers, directory, list } = setUp()
    list(second, ['m'])
    directory.takeRecords([{ key: 'a', value: undefined, offset: 10 }])
    timers.advance(61_000)
    list(first, ['m'])
    expect(directory.serving('s')).to.have.length(1)
  })

  it('lists a server whose clock was set back as soon as it goes on writing', () => {
    // Guards against sound servers that get no calls for a minute, as they started again after their clocks had been set back.
    const { timers, directory, list, remove } = setUp()
    list(second, ['m'])
    timers.advance(20_000)
    remove()
    timers.advance(5_000)
    list(first, ['m'], { heartbeatNumber: 1 })
    expect(directory.serving('s'), 'one entry may be a late write').to.have.length(0)
    timers.advance(1_200)
    list(first, ['m'], { heartbeatNumber: 2 })
    expect(directory.serving('s')).to.have.length(1)
    list(second, ['m'], { heartbeatNumber: 50 })
    expect(holds(directory, 'm'), 'an older entry of the start before').to.equal(true)
    remove()
    list(second, ['m'], { heartbeatNumber: 51 })
    expect(directory.serving('s'), 'an entry of the start before its removal').to.have.length(0)
  })

  it('keeps to the current start when one entry of an earlier one comes minutes later', () => {
    // Guards against a store that comes back from an older copy: the runs on the current start would count as dead.
    const { timers, directory, list } = setUp()
    list(first, ['n'])
    list(second, ['m'])
    timers.advance(120_000)
    list(first, ['n'], { heartbeatNumber: 9 })
    expect(directory.isDead(second)).to.equal(false)
    expect(holds(directory, 'm')).to.equal(true)
    list({ serverId: 'a', startedAtUnixMs: 500 }, ['n'], { heartbeatNumber: 9 })
    expect(directory.isDead(second)).to.equal(false)
    list(second, ['m'], { heartbeatNumber: 90 })
    expect(holds(directory, 'm')).to.equal(true)
  })

  it('lists no server again by several late entries of an earlier start', () => {
    // Guards against taking two late writes for a server that goes on writing.
    const { timers, directory, list, remove } = setUp()
    list(second)
    remove()
    for (let heartbeatNumber = 1; heartbeatNumber < 6; heartbeatNumber++) {
      list(first, [], { heartbeatNumber })
      expect(directory.serving('s')).to.have.length(0)
      timers.advance(1_200)
    }
  })

  it('lists a server whose clock was set back once another router has seen it go on', () => {
    // Guards against a router that is told of the first entry of a start alone, or starts later.
    const { timers, directory, list, remove } = setUp()
    list(second)
    timers.advance(20_000)
    remove()
    list(first)
    expect(directory.serving('s')).to.have.length(0)
    directory.noteLeft({ ...first, lastHeartbeat: 0, earlierTimes: [2_000] }, 'recorded')
    expect(directory.serving('s')).to.have.length(1)
    remove()
    list(second, [], { heartbeatNumber: 9 })
    expect(directory.serving('s')).to.have.length(0)
  })

  it('forgets the models, cached prefixes and failures of the previous start', () => {
    // Guards against sending prompts to a restarted engine for prefixes that it no longer caches.
    const { directory, list } = setUp()
    list(first, ['m'])
    directory.prefixes.remember('a', 'm/', PARTS)
    for (let count = 0; count < 20; count++) directory.noteOutcome(first, true)
    const before = directory.find('a')
    expect(before && directory.failureShareOf(before)).to.be.greaterThan(0)
    list(second, ['m'])
    const after = directory.find('a')
    expect(after && directory.failureShareOf(after)).to.equal(0)
    expect(cachedTokens(directory)).to.equal(0)
  })

  it('follows the agent\'s report before the list shows the restart', () => {
    const { directory, list, report } = setUp()
    list(first, ['m'])
    report(first, { models: [{ name: 'm', adapters: [] }] })
    directory.prefixes.remember('a', 'm/', PARTS)
    report(second)
    expect(holds(directory, 'm')).to.equal(false)
    expect(cachedTokens(directory)).to.equal(0)
    directory.loseAgent(ADDRESS)
    expect(holds(directory, 'm'), 'the list still names the models of before').to.equal(false)
    expect(directory.serving('s')).to.have.length(1)
  })

  it('follows the list before the agent reports the restart', () => {
    const { directory, list, report } = setUp()
    list(first, ['m'])
    report(first, { models: [{ name: 'm', adapters: [] }] })
    list(second)
    expect(holds(directory, 'm')).to.equal(false)
    report(second, { models: [{ name: 'm', adapters: [] }] })
    expect(holds(directory, 'm')).to.equal(true)
  })

  it('counts runs on the previous start as dead and not as load', () => {
    // Guards against a stream that stays silent after its engine's restart.
    const { directory, list, report } = setUp()
    list(first)
    report(first)
    directory.own.noteSent(first, 50)
    directory.own.noteRun(first, 'm')
    expect(directory.isDead(first)).to.equal(false)
    expect(directory.runningModels(ADDRESS)).to.deep.equal(['m'])
    report(second)
    expect(directory.isDead(first)).to.equal(true)
    expect(directory.isDead(second)).to.equal(false)
    expect(directory.find('a')).to.deep.include({ ownCount: 0, pendingTokens: 0 })
    expect(directory.runningModels(ADDRESS)).to.deep.equal([])
    directory.noteOutcome(first, true)
    const server = directory.find('a')
    expect(server && directory.failureShareOf(server)).to.equal(0)
  })

  it('ignores a late entry of the previous start', () => {
    const { directory, list, report } = setUp()
    list(first)
    report(second)
    directory.prefixes.remember('a', 'm/', PARTS)
    list(first, ['m'])
    directory.loseAgent(ADDRESS)
    list(first, ['m'])
    expect(directory.isDead(second)).to.equal(false)
    expect(holds(directory, 'm')).to.equal(false)
    expect(cachedTokens(directory)).to.equal(100)
  })

  it('uses the server although its agent has reported this id as gone', () => {
    // The agent reports gone starts for a while. One of them had the id that the engine has again.
    const { directory, list, report } = setUp()
    list(first)
    report({ serverId: '', startedAtUnixMs: undefined }, { goneStarts: [first] })
    expect(directory.serving('s')).to.have.length(0)
    expect(directory.isDead(first)).to.equal(true)
    list(second)
    expect(directory.serving('s')).to.have.length(1)
    report(second, { goneStarts: [first] })
    expect(directory.serving('s')).to.have.length(1)
  })

  it('uses the server again after its address belonged to another one', () => {
    const { directory, list } = setUp()
    list(first)
    directory.noteReplaced(first)
    expect(directory.serving('s')).to.have.length(0)
    list(second)
    expect(directory.serving('s')).to.have.length(1)
  })

  it('does not take an entry without a start time for a restart', () => {
    // Servers of an older version do not report their start time. They have another id after each start.
    const { directory, list, report } = setUp()
    const unknown: ServerStart = { serverId: 'a', startedAtUnixMs: undefined }
    list(first, ['m'])
    directory.prefixes.remember('a', 'm/', PARTS)
    list(unknown, ['m'])
    report(unknown, { models: [{ name: 'm', adapters: [] }] })
    expect(cachedTokens(directory)).to.equal(100)
    expect(directory.isDead(first)).to.equal(false)
    expect(directory.isDead(unknown)).to.equal(false)
  })

  it('follows the agent if the server\'s clock was set back', () => {
    // The server's clock is set back before its restart, so the later start has the earlier time. Its agent sees the change.
    const { directory, list, report } = setUp()
    list(second, ['m'])
    report(second, { models: [{ name: 'm', adapters: [] }] })
    directory.prefixes.remember('a', 'm/', PARTS)
    report(first, { goneStarts: [second] })
    expect(directory.isDead(second)).to.equal(true)
    expect(cachedTokens(directory)).to.equal(0)
    expect(holds(directory, 'm')).to.equal(false)
    list(first)
    expect(directory.serving('s')).to.have.length(1)
    expect(directory.isDead(first)).to.equal(false)
  })

  it('does not take an agent\'s report that is older than the list for a restart', () => {
    // An agent is paused while its engine restarts under the same id and the list shows the new start. Its next report is older.
    const { directory, list, report } = setUp()
    list(first)
    report(first)
    list(second, ['m'])
    report(first, { models: [{ name: 'n', adapters: [] }] })
    expect(directory.isDead(second)).to.equal(false)
    expect(holds(directory, 'm')).to.equal(true)
    expect(holds(directory, 'n')).to.equal(false)
  })
})
