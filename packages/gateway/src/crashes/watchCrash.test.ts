import { expect } from 'chai'
import { Right } from 'purify-ts'
import { createEventLog, createVirtualTimers } from '@figmount/base'
import { createCrashHistory } from '@figmount/fleet'

import { createDirectory } from '../directory/createDirectory.js'
import { createCrashNotifier } from './createCrashNotifier.js'
import { makeAgentState } from '../testing/makeAgentState.js'
import { makeServerEntry } from '../testing/makeServerEntry.js'
import { watchCrash } from './watchCrash.js'

import type { InstanceName } from '@figmount/base'
import type { ServerEntry } from '@figmount/fleet'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'

const ADDRESS = 'a:1'
const IDENTITY = { contentHash: 'h', callerId: 'c' }
const ENTRY = makeServerEntry('a', { address: ADDRESS })

/** An agent's report after its engine's death. */
const DEAD_STATE = makeAgentState('', { isUp: false, goneStarts: [{ serverId: 'a', startedAtUnixMs: undefined }] })

/** A router that knows one engine, on which a request runs. */
const setUpRun = () => {
  let listed = ENTRY
  const timers = createVirtualTimers()
  const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers })
  const directory = createDirectory({ timers, events, decodeServer: () => Right(listed), isServiceConfigured: () => true, onEntry: () => {} })
  const list = (given: Partial<ServerEntry> = {}): void => {
    listed = { ...ENTRY, ...given }
    directory.takeRecords([{ key: 'a', value: Buffer.from('x'), offset: 1 }])
  }
  const unlist = (): void => { directory.takeKeys(new Set()) }
  const reportDeath = (): void => { directory.takeState(ADDRESS, DEAD_STATE) }
  list()
  directory.takeState(ADDRESS, makeAgentState('a'))
  const relayed: string[] = []
  const crashes = createCrashHistory(timers)
  const context = { timers, events, directory, crashes, crashNotifier: createCrashNotifier(timers, ({ type }) => { relayed.push(type) }), partGuard: { noteDeath: () => {} } } as unknown as GatewayContext
  const server = directory.find('a')
  if (!server) throw new Error('engine a is missing from the directory')
  const interruptRun = (wasCut = false): void => { watchCrash(context, { identity: IDENTITY, caller: { requestId: 'r', promptParts: [] } } as unknown as RoutedRequest, server, { sentMs: 0, isProven: false }, wasCut) }
  return { timers, directory, crashes, relayed, list, unlist, reportDeath, interruptRun }
}

/** The same after the run was interrupted. */
const setUp = () => {
  const run = setUpRun()
  run.interruptRun()
  return run
}

describe('crash of an engine during a request', () => {
  it('is not counted if the agent reports that the engine is alive', () => {
    // Guards against refusing requests as the cause of crashes when their engines only lost answers.
    const { timers, directory, crashes, relayed } = setUp()
    timers.advance(1_400)
    directory.takeState(ADDRESS, makeAgentState('a'))
    timers.advance(5_000)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(0)
    expect(relayed).to.deep.equal([])
  })

  it('is counted as soon as the agent reports the engine\'s death', () => {
    const { timers, directory, crashes, relayed } = setUp()
    timers.advance(250)
    directory.takeState(ADDRESS, makeAgentState('a', { isUp: false }))
    timers.advance(100)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(1)
    expect(relayed).to.deep.equal(['crash'])
    timers.advance(5_000)
    expect(relayed).to.have.length(1)
  })

  it('is counted if no agent reports that the engine is alive', () => {
    // An instance may die with its engine and its agent. A request that crashes instances must not be sent to the next one.
    const { timers, crashes } = setUp()
    timers.advance(300)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(0)
    timers.advance(2_300)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(1)
  })

  it('is counted if the engine disappears from the list before its agent reports the death', () => {
    // Guards against a request that kills a third engine: an engine without a list entry was considered alive.
    const { timers, crashes, unlist, reportDeath } = setUp()
    timers.advance(113)
    unlist()
    timers.advance(700)
    reportDeath()
    timers.advance(100)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(1)
  })

  it('is counted if the engine disappears from the list before the run is interrupted', () => {
    // Guards against the same fault when a busy router reads the list before it sees the end of the stream.
    const { timers, crashes, unlist, reportDeath, interruptRun } = setUpRun()
    unlist()
    timers.advance(113)
    interruptRun()
    reportDeath()
    timers.advance(100)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(1)
  })

  it('is counted if the agent\'s report and the list change between two checks', () => {
    // Guards against the same fault when both arrive within one check period.
    const { timers, crashes, unlist, reportDeath } = setUp()
    timers.advance(110)
    reportDeath()
    timers.advance(20)
    unlist()
    timers.advance(1_000)
    reportDeath()
    timers.advance(2_500)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(1)
  })

  it('is counted if another engine has taken over the address', () => {
    const { timers, directory, crashes, unlist } = setUp()
    timers.advance(50)
    unlist()
    directory.takeState(ADDRESS, makeAgentState('b'))
    timers.advance(100)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(1)
  })

  it('is counted if agent and engine die together and the engine disappears from the list', () => {
    const { timers, directory, crashes, unlist } = setUp()
    timers.advance(50)
    directory.loseAgent(ADDRESS)
    unlist()
    timers.advance(2_500)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(1)
  })

  it('is not counted if a live engine disappears from the list', () => {
    // Guards against refusing harmless requests as the cause of crashes: entries expire during an outage of the store.
    const { timers, directory, crashes, unlist } = setUp()
    unlist()
    timers.advance(1_400)
    directory.takeState(ADDRESS, makeAgentState('a'))
    timers.advance(5_000)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(0)
  })

  it('is not counted if a draining engine exits', () => {
    // Guards against refusing harmless requests as the cause of crashes: a stream may outlast a leaving engine.
    const { timers, crashes, list, reportDeath, interruptRun } = setUpRun()
    list({ isDraining: true })
    timers.advance(2_000)
    interruptRun()
    reportDeath()
    timers.advance(5_000)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(0)
  })

  it('is not counted if an engine leaves the list, continues to serve and exits', () => {
    // Guards against the same fault when an engine leaves without an announcement.
    const { timers, crashes, unlist, reportDeath, interruptRun } = setUpRun()
    unlist()
    timers.advance(2_000)
    interruptRun()
    reportDeath()
    timers.advance(5_000)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(0)
  })

  it('is counted if the engine was off the list for a while and is listed again', () => {
    const { timers, crashes, list, unlist, reportDeath, interruptRun } = setUpRun()
    unlist()
    timers.advance(2_000)
    list({ heartbeatNumber: 2 })
    interruptRun()
    timers.advance(200)
    reportDeath()
    timers.advance(100)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(1)
  })

  it('is counted if the router aborts a run on an engine that is known to be dead', () => {
    // Guards against a request that kills engine after engine: their connections stay open but silent, and the caller leaves.
    const { timers, crashes, reportDeath, interruptRun } = setUpRun()
    reportDeath()
    timers.advance(2_000)
    interruptRun(true)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(1)
  })

  it('is counted if an engine dies without closing its connections and is unlisted before the run is aborted', () => {
    // Guards against the same fault: a dead engine that was unlisted for a while looked like one that had left gracefully.
    const { timers, crashes, unlist, reportDeath, interruptRun } = setUpRun()
    timers.advance(50)
    reportDeath()
    timers.advance(850)
    unlist()
    timers.advance(1_450)
    interruptRun()
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(1)
  })

  it('is not counted if the router aborts a run on an engine that dies later', () => {
    // Guards against refusing harmless requests as the cause of crashes after their callers had left.
    const { timers, crashes, reportDeath, interruptRun } = setUpRun()
    interruptRun(true)
    timers.advance(50)
    reportDeath()
    timers.advance(5_000)
    expect(crashes.countsOf(IDENTITY).ownCount).to.equal(0)
  })
})
