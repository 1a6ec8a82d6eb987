import { expect } from 'chai'
import { findReplicaRights } from '@figmount/records'

import { createTestBench, MODEL } from '../testing/createTestBench.js'
import { buildCandidates } from './buildCandidates.js'
import { createPrefixMap } from './createPrefixMap.js'
import { createSendLog } from './createSendLog.js'
import { pickSubset } from './pickSubset.js'

import type { InstanceName } from '@figmount/base'
import type { RoutingSources, CandidateQuery } from './types.js'

const A1 = 'a1' as InstanceName

const namesOf = (sources: RoutingSources, query: CandidateQuery): readonly string[] => buildCandidates(sources, query).map(candidate => candidate.instance)

describe('candidates', () => {
  it('exclude agents that are drained, leaving, gone or already tried', () => {
    const bench = createTestBench({ a1: () => {}, a2: () => {} })
    const query: CandidateQuery = { replicas: findReplicaRights(bench.records.state(), MODEL), adapter: '', coldStartMs: 1, excluded: new Set() }
    const sources = bench.context.sourcesFor(MODEL, '')
    expect(namesOf(sources, query)).to.deep.equal(['a1', 'a2'])
    expect(namesOf(sources, { ...query, excluded: new Set([A1]) })).to.deep.equal(['a2'])
    const listed = sources.list.instances.get(A1)
    const leaving = new Map([...sources.list.instances, ...(listed ? [[A1, { ...listed, leaving: true }] as const] : [])])
    expect(namesOf({ ...sources, list: { ...sources.list, instances: leaving } }, query)).to.deep.equal(['a2'])
    bench.records.put({ kind: 'drain.set', instance: A1, draining: true, operatorName: 'op' })
    expect(namesOf(bench.context.sourcesFor(MODEL, ''), query)).to.deep.equal(['a2'])
  })

  it('include the work of own sends until a report covers them', () => {
    const sends = createSendLog()
    sends.add(A1, 2, 1_000)
    sends.add(A1, 3, 1_500)
    const forget = sends.add(A1, 7, 1_600)
    forget()
    expect(sends.unreportedSeconds(A1, 900)).to.equal(5)
    expect(sends.unreportedSeconds(A1, 1_200)).to.equal(3)
    expect(sends.unreportedSeconds(A1, 2_000)).to.equal(0)
  })

  it('are limited to a stable subset per router that always includes the lowest slots', () => {
    const many = Array.from({ length: 100 }, (_, slotIndex) => ({
      instance: `a${slotIndex}` as InstanceName, slotIndex, fence: 1 as never, state: 'ready' as const, readyInMs: 0, queuedSeconds: 0, unreportedSeconds: 0, reportAgeMs: 0, batchSize: 1, tokenIntervalMs: 1, hasAdapter: true, hasPrefix: false, sameDataCentre: slotIndex % 2 === 0
    }))
    const subsetOf = (router: string, candidates = many) => pickSubset(router as InstanceName, candidates).map(candidate => candidate.slotIndex)
    expect(subsetOf('r1')).to.have.length(8).and.include.members([0, 1])
    expect(subsetOf('r1').slice(2).every(slotIndex => slotIndex % 2 === 0)).to.equal(true)
    expect(subsetOf('r2')).to.not.deep.equal(subsetOf('r1'))
    const gone = subsetOf('r1')[4]
    const left = subsetOf('r1', many.filter(candidate => candidate.slotIndex !== gone))
    expect(subsetOf('r1').filter(slotIndex => left.includes(slotIndex))).to.have.length(7)
  })

  it('use a prefix map that is bounded and evicts the least recently used prefix', () => {
    const prefixes = createPrefixMap(2)
    prefixes.add(MODEL, 'p1', A1)
    prefixes.add(MODEL, 'p2', A1)
    prefixes.add(MODEL, 'p1', A1)
    prefixes.add(MODEL, 'p3', A1)
    expect(['p1', 'p2', 'p3'].map(hint => prefixes.holderOf(MODEL, hint))).to.deep.equal([A1, undefined, A1])
  })
})
