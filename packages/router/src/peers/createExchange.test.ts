import { expect } from 'chai'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createSuspects } from '../suspects/createSuspects.js'
import { createFakeRecords } from '../testing/createFakeRecords.js'
import { createExchange } from './createExchange.js'
import { pickNeighbours } from './pickNeighbours.js'

import type { InstanceName, LogOffset } from '@figmount/base'
import type { Suspicion } from '../suspects/types.js'
import type { GossipMessage } from './types.js'

const createFixture = () => {
  const timers = createVirtualTimers()
  const records = createFakeRecords()
  const forwardedFrom: string[] = []
  const sent: GossipMessage[] = []
  const exchange = createExchange({
    records,
    suspects: createSuspects({ state: records.state, unixMs: timers.unixMs }),
    timers,
    events: createEventLog({ instance: 'r1' as InstanceName, role: 'router', timers }),
    forwardSuspicion: (_suspicion: Suspicion, from) => { forwardedFrom.push(from) },
    onLeaving: () => {}
  })
  return { timers, records, exchange, forwardedFrom, sent, send: (message: GossipMessage) => { sent.push(message) } }
}

describe('record and suspicion exchange between peers', () => {
  // This router is disconnected from the log while the configuration changes. A neighbour's heartbeat
  // carries the higher offset, and the records must be requested from the neighbour.
  it('requests records from a peer that the log does not deliver', () => {
    const { timers, exchange, sent, send } = createFixture()
    exchange.receiveOffset(5 as LogOffset, send)
    exchange.receiveOffset(5 as LogOffset, send)
    timers.advance(250)
    expect(sent).to.deep.equal([{ type: 'records.ask', fromOffset: 0 }])
  })

  it('requests nothing if the log delivers the records in time', () => {
    const { timers, records, exchange, sent, send } = createFixture()
    exchange.receiveOffset(1 as LogOffset, send)
    records.put({ kind: 'suspect.clear', fingerprint: 'f' })
    timers.advance(250)
    expect(sent).to.deep.equal([])
  })

  it('forwards a suspicion once', () => {
    const { exchange, forwardedFrom, send } = createFixture()
    const suspicion = { type: 'suspect', fingerprints: ['f'], deathId: 'd', instance: 'a1' as InstanceName } as const
    exchange.take('a1', suspicion, send)
    exchange.take('r2', suspicion, send)
    expect(forwardedFrom).to.deep.equal(['a1'])
  })

  it('reaches every router through its neighbours within a few hops', () => {
    const routers = Array.from({ length: 350 }, (_, index) => `r${index}` as InstanceName)
    const links = new Map<InstanceName, Set<InstanceName>>(routers.map(name => [name, new Set(pickNeighbours(name, routers))]))
    for (const [name, peers] of links) for (const peer of [...peers]) links.get(peer)?.add(name)
    let reached = new Set([routers[0] as InstanceName])
    let steps = 0
    while (reached.size < routers.length && steps < 20) {
      reached = new Set([...reached].flatMap(name => [name, ...(links.get(name) ?? [])]))
      steps += 1
    }
    expect(steps).to.be.at.most(6)
  })
})
