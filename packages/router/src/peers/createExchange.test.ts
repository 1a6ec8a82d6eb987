import { expect } from 'chai'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createSuspects } from '../suspects/createSuspects.js'
import { createFakeRecords } from '../testing/createFakeRecords.js'
import { createExchange } from './createExchange.js'
import { pickNeighbours } from './pickNeighbours.js'

import type { InstanceName, LogOffset } from '@figmount/base'
import type { Suspicion } from '../suspects/types.js'
import type { GossipMessage } from './types.js'

const createStage = () => {
  const timers = createVirtualTimers()
  const records = createFakeRecords()
  const spread: string[] = []
  const sent: GossipMessage[] = []
  const exchange = createExchange({
    records,
    suspects: createSuspects({ state: records.state, unixMs: timers.unixMs }),
    timers,
    events: createEventLog({ instance: 'r1' as InstanceName, role: 'router', timers }),
    spread: (_suspicion: Suspicion, from) => { spread.push(from) },
    onLeaving: () => {}
  })
  return { timers, records, exchange, spread, sent, send: (message: GossipMessage) => { sent.push(message) } }
}

describe('exchange between peers', () => {
  // This router is cut off from the log while an operator changes the configuration elsewhere.
  // A neighbour's heartbeat carries the higher offset, and the records come from the neighbour.
  it('asks a peer for records that the log does not bring', () => {
    const { timers, exchange, sent, send } = createStage()
    exchange.hearOffset(5 as LogOffset, send)
    exchange.hearOffset(5 as LogOffset, send)
    timers.advance(250)
    expect(sent).to.deep.equal([{ type: 'records.ask', fromOffset: 0 }])
  })

  it('asks for nothing that the log brings in time', () => {
    const { timers, records, exchange, sent, send } = createStage()
    exchange.hearOffset(1 as LogOffset, send)
    records.put({ kind: 'suspect.clear', fingerprint: 'f' })
    timers.advance(250)
    expect(sent).to.deep.equal([])
  })

  it('passes a suspicion on once', () => {
    const { exchange, spread, send } = createStage()
    const suspicion = { type: 'suspect', fingerprints: ['f'], deathId: 'd', instance: 'a1' as InstanceName } as const
    exchange.take('a1', suspicion, send)
    exchange.take('r2', suspicion, send)
    expect(spread).to.deep.equal(['a1'])
  })

  it('reaches every router over its neighbours within a few steps', () => {
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
