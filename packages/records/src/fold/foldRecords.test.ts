import { expect } from 'chai'

import { emptyState } from './emptyState.js'
import { foldRecords } from './foldRecords.js'
import { findKeysRight, findReplicaRights } from '../rights/selectors.js'
import { findCallerByKey, findModel } from '../config/selectors.js'
import { classifySuspect } from '../suspects/selectors.js'
import { VOID_GRANT_DELAY_MS } from '../rights/constants.js'
import { agentUp, grantReplica, placeAll, setConfig, twoReplicaService } from '../testing/records.js'

import type { Incarnation, InstanceName, LogOffset, ModelId } from '@figmount/base'
import type { FoldInput, LogRecord } from './types.js'

const model = 'reader/m' as ModelId
const slot0 = { kind: 'replica', target: model, slotIndex: 0 } as const
const a1 = 'a1' as InstanceName

const baseRecords: readonly LogRecord[] = [
  setConfig('service/reader', 0, twoReplicaService),
  agentUp('a1', 'i1'),
  agentUp('a2', 'i1')
]

const fold = (...records: readonly LogRecord[]) => foldRecords(emptyState, placeAll([...baseRecords, ...records]))
const lastReason = (...records: readonly LogRecord[]): string => {
  const outcome = fold(...records).outcomes.at(-1)
  return !outcome || outcome.applied ? '' : outcome.reason
}
const release = (writer: string, writerIncarnation: string, fence: number, recordId = 'rel'): LogRecord =>
  ({ kind: 'right.release', recordId, writer: writer as InstanceName, writerIncarnation: writerIncarnation as Incarnation, right: slot0, fence: fence as LogOffset })
const voidOf = (instance: string, upToOffset: number): LogRecord =>
  ({ kind: 'instance.void', recordId: `void-${instance}-${upToOffset}`, writer: 'r1' as InstanceName, instance: instance as InstanceName, upToOffset: upToOffset as LogOffset })

describe('fold of configuration', () => {
  it('ignores the later of two racing changes and names the version in force', () => {
    const record = setConfig('service/reader', 0, twoReplicaService, 'late')
    expect(lastReason(record)).to.equal('version 1 is in force, set by op; expected 0')
  })

  it('ignores a body that violates the schema and names the field', () => {
    const body = { ...twoReplicaService, models: [{ ...twoReplicaService.models[0], maxReplicas: 0 }] }
    expect(lastReason(setConfig('service/other', 0, body))).to.match(/^models\.0\.maxReplicas: /)
    expect(lastReason(setConfig('service/Bad Name', 0, twoReplicaService))).to.match(/^item: /)
  })

  it('retires an item and keeps its history', () => {
    const { state } = fold({ ...setConfig('service/reader', 1, twoReplicaService), bodyJson: '' } as LogRecord)
    expect(findModel(state, model)).to.equal(undefined)
    expect(state.history.get('service/reader')?.map(version => version.version)).to.deep.equal([1])
  })

  it('refuses a key that another caller has', () => {
    const body = { kind: 'crew', keySha256: 'a'.repeat(64) }
    const first = setConfig('caller/one', 0, body)
    expect(lastReason(first, setConfig('caller/two', 0, body))).to.equal('keySha256: caller/one has this key')
    expect(findCallerByKey(fold(first).state, body.keySha256)?.name).to.equal('one')
  })
})

describe('fold of rights', () => {
  it('gives a slot to the first of two racing grants', () => {
    const { state } = fold(grantReplica(model, 0, 'a1', 'i1', 0), grantReplica(model, 0, 'a2', 'i1', 0))
    expect(findReplicaRights(state, model).map(right => [right.holder, right.fence])).to.deep.equal([['a1', 3]])
  })

  it('grants an agent no second slot of a model, not even while its first slot is revoked', () => {
    // Guards against a model that is lost with one instance because that instance holds all of its slots.
    const first = grantReplica(model, 0, 'a1', 'i1', 0)
    const second = grantReplica(model, 1, 'a1', 'i1', 0)
    expect(lastReason(first, second)).to.equal('a1 holds slot 0 of reader/m')
    const revoke: LogRecord = { kind: 'right.revoke', recordId: 'rev', writer: a1, right: slot0, fence: 3 as LogOffset }
    expect(lastReason(first, revoke, second)).to.equal('a1 holds slot 0 of reader/m')
    expect(lastReason(first, revoke, release('a1', 'i1', 3), second)).to.equal('')
    expect(lastReason(first, grantReplica(model, 1, 'a2', 'i1', 0))).to.equal('')
  })

  it('grants no slot beyond maxReplicas, to an unknown agent or to a draining one', () => {
    expect(lastReason(grantReplica(model, 2, 'a1', 'i1', 0))).to.equal('reader/m may have 2 replicas')
    expect(lastReason(grantReplica(model, 0, 'a9', 'i1', 0))).to.equal('a9 is not up')
    const drain: LogRecord = { kind: 'drain.set', recordId: 'd', writer: a1, instance: a1, draining: true, operatorName: 'op' }
    expect(lastReason(drain, grantReplica(model, 0, 'a1', 'i1', 0))).to.equal('a1 drains')
  })

  it('ignores a release sent by the incarnation before a restart', () => {
    // An agent releases a slot and restarts before the release is in the log. It still holds the slot and
    // loads the model. The late release would free the slot although a replica is loaded, another agent
    // would be granted it, and the model would have one replica too many.
    const { state, outcomes } = fold(grantReplica(model, 0, 'a1', 'i1', 0), agentUp('a1', 'i2'), release('a1', 'i1', 3))
    expect(outcomes.at(-1)).to.deep.equal({ applied: false, reason: 'the holder has restarted since' })
    expect(findReplicaRights(state, model)[0]?.holder).to.equal('a1')
  })

  it('allows a new grant of a slot after its release if the grant expects the last fence', () => {
    const freed = [grantReplica(model, 0, 'a1', 'i1', 0), release('a1', 'i1', 3)]
    expect(lastReason(...freed, grantReplica(model, 0, 'a2', 'i1', 0))).to.equal('the last fence is 3')
    expect(lastReason(...freed, grantReplica(model, 0, 'a2', 'i1', 3))).to.equal('')
  })

  it('delays a grant after a void until a paused holder has lost its authority', () => {
    // A holder is paused, dropped from the list, voided and then resumes. As long as it may act on what it
    // read before the pause, its slot must not be granted to another agent.
    const records = placeAll([...baseRecords, grantReplica(model, 0, 'a1', 'i1', 0), voidOf('a1', 3), grantReplica(model, 0, 'a2', 'i1', 3)])
    const early = records.at(-1) as FoldInput
    const afterDelay: FoldInput = { ...early, appendedAtMs: (records[4]?.appendedAtMs ?? 0) + VOID_GRANT_DELAY_MS }
    expect(foldRecords(emptyState, records).outcomes.at(-1)?.applied).to.equal(false)
    expect(foldRecords(emptyState, [...records.slice(0, -1), afterDelay]).outcomes.at(-1)?.applied).to.equal(true)
  })

  it('ignores a void that was decided before the agent came up again', () => {
    expect(lastReason(grantReplica(model, 0, 'a1', 'i1', 0), agentUp('a1', 'i2'), voidOf('a1', 3))).to.equal('a1 came up again at 4')
  })

  it('renews the tenure of a keys right only once per restart', () => {
    const right = { kind: 'keys', target: model } as const
    const grant: LogRecord = { kind: 'right.grant', recordId: 'g', writer: a1, right, instance: a1, incarnation: 'i1' as Incarnation, expectedFence: 0 }
    const renew = (recordId: string): LogRecord => ({ kind: 'right.renew', recordId, writer: a1, right, fence: 3 as LogOffset, incarnation: 'i2' as Incarnation })
    const { state, outcomes } = fold(grant, agentUp('a1', 'i2'), renew('n1'), renew('n2'))
    expect(outcomes.slice(-2).map(outcome => outcome.applied)).to.deep.equal([true, false])
    expect(findKeysRight(state, model)?.incarnation).to.equal('i2')
  })
})

describe('fold of any record', () => {
  it('counts the offset of an unreadable record and continues', () => {
    const [first, ...rest] = placeAll(baseRecords)
    const unreadableRecord: FoldInput = { offset: 1 as LogOffset, appendedAtMs: 1, unreadable: 'kind: from a newer build' }
    const shifted = rest.map(record => ({ ...record, offset: (record.offset + 1) as LogOffset }))
    const { state, outcomes } = foldRecords(emptyState, [first as FoldInput, unreadableRecord, ...shifted])
    expect(state.nextOffset).to.equal(4)
    expect(outcomes[1]).to.deep.equal({ applied: false, reason: 'kind: from a newer build' })
  })

  it('ignores a second copy of an append', () => {
    // An operator's drain has ended; then the network delivers the drain's record a second time.
    const drain = (recordId: string, draining: boolean): LogRecord => ({ kind: 'drain.set', recordId, writer: a1, instance: a1, draining, operatorName: 'op' })
    expect(lastReason(drain('d1', true), drain('d2', false), drain('d1', true))).to.equal('a second copy of the record')
  })

  it('stops at a gap and never goes back to an earlier offset', () => {
    const { state } = fold()
    const late = placeAll(baseRecords).map(record => ({ ...record, offset: (record.offset + 7) as LogOffset }))
    expect(foldRecords(state, late).state.nextOffset).to.equal(3)
    expect(foldRecords(state, placeAll(baseRecords)).state.nextOffset).to.equal(3)
  })
})

describe('verdict on suspects', () => {
  const death = (deathId: string, ...fingerprints: readonly string[]): LogRecord =>
    ({ kind: 'suspect.add', recordId: deathId, writer: a1, instance: a1, deathId, fingerprints })

  it('convicts a request that ran alone at its second engine death, and clears one that was answered', () => {
    const clear: LogRecord = { kind: 'suspect.clear', recordId: 'c', writer: a1, fingerprint: 'bystander' }
    const { state } = fold(death('d1', 'killer', 'bystander'), clear, death('d2', 'killer'))
    expect(classifySuspect(state, 'killer', 10)).to.equal('convicted')
    expect(classifySuspect(state, 'bystander', 10)).to.equal('none')
    expect(classifySuspect(fold(death('d1', 'killer')).state, 'killer', 10)).to.equal('suspect')
  })
})
