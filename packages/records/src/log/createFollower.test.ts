import { expect } from 'chai'
import fc from 'fast-check'

import { encodeRecord, decodeRawRecord } from './codec.js'
import { NOT_IN_LOG } from './constants.js'
import { createFollower } from './createFollower.js'
import { applyRecord } from '../fold/applyRecord.js'
import { emptyState } from '../fold/emptyState.js'
import { splitSnapshot } from '../snapshot/splitSnapshot.js'
import { agentUp, grantReplica, setConfig, twoReplicaService } from '../testing/records.js'

import type { InstanceName, LogOffset, ModelId } from '@figmount/base'
import type { AgreedState, LogRecord } from '../fold/types.js'
import type { RawRecord } from './types.js'

const writer = 'r1' as InstanceName
const RECORD_COUNT = 60

/** Builds a log of configuration, agents, rights, ignored and unreadable records and snapshots, with its state at each offset. */
const buildLog = (): { readonly records: readonly RawRecord[], readonly states: readonly AgreedState[] } => {
  const records: RawRecord[] = []
  const states: AgreedState[] = [emptyState]
  const push = (payload: Uint8Array): void => {
    const raw = { offset: records.length as LogOffset, appendedAtMs: records.length * 1000, payload }
    records.push(raw)
    states.push(applyRecord(states.at(-1) ?? emptyState, decodeRawRecord(raw)).state)
  }
  const pushRecord = (record: LogRecord): void => push(encodeRecord(record))
  for (let index = 0; records.length < RECORD_COUNT; index += 1) {
    if (index % 11 === 7) {
      const state = states.at(-1) ?? emptyState
      for (const chunk of splitSnapshot(state, `s${index}`)) pushRecord({ ...chunk, recordId: `c${index}`, writer })
    } else if (index % 5 === 0) pushRecord(setConfig('service/reader', index / 5, twoReplicaService))
    else if (index % 5 === 1) pushRecord(agentUp(`a${index % 3}`, `i${100 + index}`))
    else if (index % 5 === 2) pushRecord(grantReplica('reader/m' as ModelId, 0, `a${index % 3}`, `i${100 + index}`, 0))
    else if (index % 5 === 3) push(new Uint8Array([index]))
    else pushRecord(setConfig('service/reader', 0, twoReplicaService, `stale-${index}`))
  }
  return { records, states }
}

const { records, states } = buildLog()

const peerSnapshotAt = (offset: number): readonly RawRecord[] =>
  splitSnapshot(states[offset] ?? emptyState, `p${offset}`).map(chunk =>
    ({ offset: NOT_IN_LOG, appendedAtMs: 0, payload: encodeRecord({ ...chunk, recordId: `p${offset}`, writer }) }))

const anyDelivery = fc.record({
  origin: fc.constantFrom('log', 'staleLog', 'expired', 'peerTail', 'peerSnapshot'),
  from: fc.nat(RECORD_COUNT),
  count: fc.nat(20)
})

describe('follower', () => {
  it('always has the state of some offset of the log and never goes back to an earlier one', () => {
    // A process receives records from the log, from a copy of it that lags and from peers: late, twice, with gaps,
    // and after some have expired. At any time an operator must see the configuration as it was in the log
    // at one moment, and never an older one than before.
    fc.assert(fc.property(fc.array(anyDelivery, { minLength: 1, maxLength: 30 }), deliveries => {
      const follower = createFollower({ onFolded: () => {}, onRebuilt: () => {}, onSnapshotRefused: () => {}, onSnapshotSeen: () => {} })
      let oldest = 0
      for (const { origin, from, count } of deliveries) {
        const before = follower.state().nextOffset
        if (origin === 'expired') oldest = Math.max(oldest, Math.min(from, 40))
        const readFrom = Math.max(oldest, follower.position())
        if (origin === 'log') follower.takeFromLog(records.slice(readFrom, readFrom + count), oldest as LogOffset)
        if (origin === 'staleLog') follower.takeFromLog(records.slice(from, from + count), 0 as LogOffset)
        if (origin === 'peerTail') follower.takeFromPeer(records.slice(from, from + count))
        if (origin === 'peerSnapshot') follower.takeFromPeer(peerSnapshotAt(from))
        expect(follower.state().nextOffset).to.be.at.least(before)
        expect(follower.state()).to.deep.equal(states[follower.state().nextOffset])
      }
      for (let turn = 0; turn < 2; turn += 1) {
        const readFrom = Math.max(oldest, follower.position())
        follower.takeFromLog(records.slice(readFrom), oldest as LogOffset)
      }
      expect(follower.state()).to.deep.equal(states.at(-1))
    }), { seed: 99, numRuns: 300 })
  })
})
