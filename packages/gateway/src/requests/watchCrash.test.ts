import { expect } from 'chai'
import { Right } from 'purify-ts'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createDirectory } from '../directory/createDirectory.js'
import { createCrashHistory } from '../retries/createCrashHistory.js'
import { createCrashNotifier } from '../retries/createCrashNotifier.js'
import { makeAgentState } from '../testing/makeAgentState.js'
import { watchCrash } from './watchCrash.js'

import type { InstanceName } from '@figmount/base'
import type { ServerEntry } from '@figmount/fleet'
import type { GatewayContext, RoutedRequest } from './types.js'

const ADDRESS = 'a:1'
const ENTRY: ServerEntry =
  { serverId: 'a', startedAtUnixMs: undefined, serviceName: 's', address: ADDRESS, dataCentre: 'east', slots: 1, isDraining: false, models: [] }

/** What an agent tells of once its engine has died. */
const DEAD = makeAgentState('', { isUp: false, goneStarts: [{ serverId: 'a', startedAtUnixMs: undefined }] })

/** A router that knows one engine, at which a request runs. */
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
  const tellDeath = (): void => { directory.takeState(ADDRESS, DEAD) }
  list()
  directory.takeState(ADDRESS, makeAgentState('a'))
  const relayed: string[] = []
  const crashes = createCrashHistory(timers)
  const context = { timers, directory, crashes, crashNotifier: createCrashNotifier(timers, ({ type }) => { relayed.push(type) }) } as unknown as GatewayContext
  const server = directory.find('a')
  if (!server) throw new Error('the engine is known')
  const breakOff = (wasCut = false): void => { watchCrash(context, { requestHash: 'h' } as unknown as RoutedRequest, server, wasCut) }
  return { timers, directory, crashes, relayed, list, unlist, tellDeath, breakOff }
}

/** The same, and the run has just broken off. */
const setUp = () => {
  const run = setUpRun()
  run.breakOff()
  return run
}

describe('crash of an engine under a request', () => {
  it('is not counted where its agent says that it lives', () => {
    // Guards against callers refused as deadly whose engines only lost answers.
    const { timers, directory, crashes, relayed } = setUp()
    timers.advance(1_400)
    directory.takeState(ADDRESS, makeAgentState('a'))
    timers.advance(5_000)
    expect(crashes.crashCount('h')).to.equal(0)
    expect(relayed).to.deep.equal([])
  })

  it('is counted as soon as its agent tells of its death', () => {
    const { timers, directory, crashes, relayed } = setUp()
    timers.advance(250)
    directory.takeState(ADDRESS, makeAgentState('a', { isUp: false }))
    timers.advance(100)
    expect(crashes.crashCount('h')).to.equal(1)
    expect(relayed).to.deep.equal(['crash'])
    timers.advance(5_000)
    expect(relayed).to.have.length(1)
  })

  it('is counted where nobody says that it lives', () => {
    // An instance dies with its engine and its agent. A request that crashes instances must not go on to the next.
    const { timers, crashes } = setUp()
    timers.advance(300)
    expect(crashes.crashCount('h')).to.equal(0)
    timers.advance(2_300)
    expect(crashes.crashCount('h')).to.equal(1)
  })

  it('is counted where the list loses the engine before its agent tells of the death', () => {
    // Guards against a deadly request that kills a third engine: without an entry the engine was taken for alive.
    const { timers, crashes, unlist, tellDeath } = setUp()
    timers.advance(113)
    unlist()
    timers.advance(700)
    tellDeath()
    timers.advance(100)
    expect(crashes.crashCount('h')).to.equal(1)
  })

  it('is counted where the list loses the engine before the run breaks off', () => {
    // Guards against the same where a busy router reads the list before it sees that the stream has ended.
    const { timers, crashes, unlist, tellDeath, breakOff } = setUpRun()
    unlist()
    timers.advance(113)
    breakOff()
    tellDeath()
    timers.advance(100)
    expect(crashes.crashCount('h')).to.equal(1)
  })

  it('is counted where its agent and the list tell of the death between two looks', () => {
    // Guards against the same where agent and list come within one period of the looks.
    const { timers, crashes, unlist, tellDeath } = setUp()
    timers.advance(110)
    tellDeath()
    timers.advance(20)
    unlist()
    timers.advance(1_000)
    tellDeath()
    timers.advance(2_500)
    expect(crashes.crashCount('h')).to.equal(1)
  })

  it('is counted where another engine has its address by then', () => {
    const { timers, directory, crashes, unlist } = setUp()
    timers.advance(50)
    unlist()
    directory.takeState(ADDRESS, makeAgentState('b'))
    timers.advance(100)
    expect(crashes.crashCount('h')).to.equal(1)
  })

  it('is counted where agent and engine die together and the list loses the engine', () => {
    const { timers, directory, crashes, unlist } = setUp()
    timers.advance(50)
    directory.loseAgent(ADDRESS)
    unlist()
    timers.advance(2_500)
    expect(crashes.crashCount('h')).to.equal(1)
  })

  it('is not counted where the list loses an engine that lives', () => {
    // Guards against innocents refused as deadly: an outage of the store makes entries lapse.
    const { timers, directory, crashes, unlist } = setUp()
    unlist()
    timers.advance(1_400)
    directory.takeState(ADDRESS, makeAgentState('a'))
    timers.advance(5_000)
    expect(crashes.crashCount('h')).to.equal(0)
  })

  it('is not counted where an engine drains and ends', () => {
    // Guards against innocents refused as deadly: a stream outlasts the time that a leaving engine has.
    const { timers, crashes, list, tellDeath, breakOff } = setUpRun()
    list({ isDraining: true })
    timers.advance(2_000)
    breakOff()
    tellDeath()
    timers.advance(5_000)
    expect(crashes.crashCount('h')).to.equal(0)
  })

  it('is not counted where an engine leaves the list, serves on and ends', () => {
    // Guards against the same where an engine leaves without a word.
    const { timers, crashes, unlist, tellDeath, breakOff } = setUpRun()
    unlist()
    timers.advance(2_000)
    breakOff()
    tellDeath()
    timers.advance(5_000)
    expect(crashes.crashCount('h')).to.equal(0)
  })

  it('is counted where an engine was off the list for a while and is back', () => {
    const { timers, crashes, list, unlist, tellDeath, breakOff } = setUpRun()
    unlist()
    timers.advance(2_000)
    list()
    breakOff()
    timers.advance(200)
    tellDeath()
    timers.advance(100)
    expect(crashes.crashCount('h')).to.equal(1)
  })

  it('is counted where the router cuts a run at an engine that is known to be dead', () => {
    // Guards against a deadly request that kills engine after engine: their connections fall silent, and its caller leaves.
    const { timers, crashes, tellDeath, breakOff } = setUpRun()
    tellDeath()
    timers.advance(2_000)
    breakOff(true)
    expect(crashes.crashCount('h')).to.equal(1)
  })

  it('is counted where an engine dies in silence and the list loses it before the run is given up', () => {
    // Guards against the same: off the list for a while, a dead engine looked like one that had left as announced.
    const { timers, crashes, unlist, tellDeath, breakOff } = setUpRun()
    timers.advance(50)
    tellDeath()
    timers.advance(850)
    unlist()
    timers.advance(1_450)
    breakOff()
    expect(crashes.crashCount('h')).to.equal(1)
  })

  it('is not counted where the router cuts a run at an engine that dies later', () => {
    // Guards against innocents refused as deadly: their callers had left.
    const { timers, crashes, tellDeath, breakOff } = setUpRun()
    breakOff(true)
    timers.advance(50)
    tellDeath()
    timers.advance(5_000)
    expect(crashes.crashCount('h')).to.equal(0)
  })
})
