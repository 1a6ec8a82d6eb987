import { expect } from 'chai'
import { Right } from 'purify-ts'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createDirectory } from '../directory/createDirectory.js'
import { createCrashBook } from '../retries/createCrashBook.js'
import { createCrashTeller } from '../retries/createCrashTeller.js'
import { makeAgentState } from '../testing/makeAgentState.js'
import { watchCrash } from './watchCrash.js'

import type { InstanceName } from '@figmount/base'
import type { ServerEntry } from '@figmount/fleet'
import type { GatewayContext, RoutedRequest } from './types.js'

const ADDRESS = 'a:1'
const ENTRY: ServerEntry =
  { serverId: 'a', startedAtUnixMs: undefined, serviceName: 's', address: ADDRESS, dataCentre: 'east', slots: 1, isDraining: false, models: [] }

/** A router that knows one engine, at which a run has just broken off. */
const setUp = () => {
  const timers = createVirtualTimers()
  const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers })
  const directory = createDirectory({ timers, events, decodeServer: () => Right(ENTRY), isServiceNamed: () => true, entryTaken: () => {} })
  directory.takeRecords([{ key: 'a', value: Buffer.from('x'), offset: 1 }])
  directory.takeState(ADDRESS, makeAgentState('a'))
  const relayed: string[] = []
  const crashes = createCrashBook(timers)
  const context = { timers, directory, crashes, crashTeller: createCrashTeller(timers, ({ type }) => { relayed.push(type) }) } as unknown as GatewayContext
  const server = directory.find('a')
  if (!server) throw new Error('the engine is known')
  watchCrash(context, { requestHash: 'h' } as unknown as RoutedRequest, server)
  return { timers, directory, crashes, relayed }
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
})
