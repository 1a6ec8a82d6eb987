import { expect } from 'chai'

import { MIN_LIST_ABSENCE_MS, PROPOSER_TURN_MS } from './constants.js'
import { proposeRights } from './proposeRights.js'
import { findAbsent, proposeVoids } from './proposeVoids.js'
import { shouldPropose } from './shouldPropose.js'
import { noAbsences, trackAbsences } from './trackAbsences.js'
import { emptyState } from '../fold/emptyState.js'
import { foldRecords } from '../fold/foldRecords.js'
import { VOID_GRANT_DELAY_MS } from '../rights/constants.js'
import { findKeysRight, findReplicaRights } from '../rights/selectors.js'
import { agentUp, placeAll, setConfig } from '../testing/records.js'

import type { DataCentre, Incarnation, InstanceName, ModelId } from '@figmount/base'
import type { AgreedState, LogRecord } from '../fold/types.js'
import type { NewRecord } from '../log/types.js'
import type { ListedInstance } from './types.js'

const anyTarget = { mayPropose: () => true }
const dayMs = 86_400_000
const router = 'r1' as InstanceName

const modelOf = (name: string, maxReplicas: number, memoryMb = 10) =>
  ({ name, versions: ['v1'], currentVersion: 'v1', minReplicas: 0, maxReplicas, memoryMb, checkpointMb: 10 })
const serviceOf = (...models: ReadonlyArray<ReturnType<typeof modelOf>>) => ({ kind: 'models', models })
const agentIn = (name: string, dataCentre: string): LogRecord =>
  ({ ...agentUp(name, 'i1'), dataCentre: dataCentre as DataCentre } as LogRecord)
const listed = (...names: readonly string[]): readonly ListedInstance[] =>
  names.map(name => ({ name: name as InstanceName, leaving: false }))

let counter = 0
const fold = (state: AgreedState, records: ReadonlyArray<LogRecord | NewRecord>, laterMs = 0): AgreedState => {
  const whole = records.map(record => ({ recordId: `p${counter++}`, writer: router, ...record }) as LogRecord)
  const placed = placeAll(whole, state.nextOffset).map(record => ({ ...record, appendedAtMs: state.asOfMs + laterMs }))
  return foldRecords(state, placed).state
}

const names = ['a1', 'a2', 'a3', 'a4', 'a5', 'a6']
const agents = names.map((name, index) => agentIn(name, `dc-${index % 3}`))
const start = (body: unknown): AgreedState => fold(emptyState, [setConfig('service/reader', 0, body), ...agents])
const foldProposals = (state: AgreedState, instances = listed(...names)): AgreedState => fold(state, proposeRights(state, instances, anyTarget, dayMs))
const MODEL = 'reader/m' as ModelId
const holdersOf = (state: AgreedState, model: string): readonly InstanceName[] =>
  findReplicaRights(state, `reader/${model}` as ModelId).map(right => right.holder)

describe('proposals of rights', () => {
  it('fill every slot once, across all data centres, and grant the keys right to a slot holder', () => {
    const state = foldProposals(start(serviceOf(modelOf('m', 3), modelOf('n', 1))))
    const holders = holdersOf(state, 'm')
    const centres = holders.map(holder => state.agents.get(holder)?.dataCentre)
    expect(new Set(centres).size).to.equal(3)
    expect(holdersOf(state, 'n')).to.include(findKeysRight(state, 'reader/n' as ModelId)?.holder)
    expect(proposeRights(state, listed(...names), anyTarget, dayMs)).to.deep.equal([])
  })

  it('grant nothing to an agent that announced its stop, but leave it its rights', () => {
    // An agent stops because its instance is removed, and releases its rights at once. The proposer's list may show the
    // instance as staying for up to a second longer. A right granted to it again would remain held after its exit, and
    // callers of the model would have to wait for a void.
    const state = foldProposals(start(serviceOf(modelOf('m', 1), modelOf('n', 1))))
    const [holder] = holdersOf(state, 'm')
    const stopping = names.map(name => ({ name: name as InstanceName, leaving: false, stopping: name === holder }))
    expect(proposeRights(state, stopping, anyTarget, dayMs)).to.deep.equal([])
    const released = fold(state, findReplicaRights(state, 'reader/m' as ModelId).map(right => (
      { kind: 'right.release', right: right.key, fence: right.fence, writer: right.holder, writerIncarnation: 'i1' } as unknown as LogRecord
    )))
    expect(holdersOf(released, 'm')).to.deep.equal([])
    const next = foldProposals(released, stopping)
    expect(holdersOf(next, 'm')).to.have.length(1)
    expect(holdersOf(next, 'm')).not.to.include(holder)
  })

  it('grant no model to an agent whose memory is too small for it', () => {
    expect(holdersOf(foldProposals(start(serviceOf(modelOf('m', 2, 101)))), 'm')).to.deep.equal([])
  })

  it('spread models evenly over agents', () => {
    const models = Array.from({ length: 38 }, (_, index) => modelOf(`m${index}`, 2))
    const state = foldProposals(start(serviceOf(...models)))
    const counts = new Map<string, number>()
    for (const { name } of models) {
      for (const holder of holdersOf(state, name)) counts.set(holder, (counts.get(holder) ?? 0) + 1)
    }
    const sorted = [...counts.values()].sort((a, b) => a - b)
    expect(sorted.reduce((sum, count) => sum + count)).to.equal(76)
    expect((sorted.at(-1) ?? 0) - (sorted[0] ?? 0)).to.be.at.most(4)
  })

  it('by routers that see different agents never give one agent two slots of a model', () => {
    // With both slots at one agent, callers would be refused after its loss until the void, though another agent could hold a slot.
    const state = fold(emptyState, [setConfig('service/reader', 0, serviceOf(modelOf('m', 2))), agentUp('a1', 'i1'), agentUp('a2', 'i1')])
    const grant = (slotIndex: number, instance: string): NewRecord =>
      ({ kind: 'right.grant', right: { kind: 'replica', target: MODEL, slotIndex }, instance: instance as InstanceName, incarnation: 'i1' as Incarnation, expectedFence: 0 })
    const byOneThatKnowsA1 = [grant(0, 'a1')]
    const byOneThatKnowsBoth = [grant(0, 'a2'), grant(1, 'a1')]
    const raced = fold(state, [...byOneThatKnowsA1, ...byOneThatKnowsBoth])
    expect(holdersOf(raced, 'm')).to.deep.equal(['a1'])
    expect(holdersOf(foldProposals(raced, listed('a1', 'a2')), 'm')).to.deep.equal(['a1', 'a2'])
  })

  it('leave slots in place while their holder restarts, and revoke them when it drains', () => {
    const state = foldProposals(start(serviceOf(modelOf('m', 1))))
    const [holder] = holdersOf(state, 'm')
    const restarted = fold(state, [agentUp(holder ?? '', 'i2')])
    expect(proposeRights(restarted, listed(...names), anyTarget, dayMs)).to.deep.equal([])
    const draining = fold(state, [{ kind: 'drain.set', instance: holder as InstanceName, draining: true, operatorName: 'op' }])
    const proposed = proposeRights(draining, listed(...names), anyTarget, dayMs)
    expect(proposed.map(record => record.kind)).to.deep.equal(['right.revoke', 'right.revoke'])
  })

  it('revoke rights that a lower maximum or a retired model no longer allows', () => {
    const state = foldProposals(start(serviceOf(modelOf('m', 3), modelOf('n', 1))))
    const lowered = fold(state, [setConfig('service/reader', 1, serviceOf(modelOf('m', 1)))])
    const proposed = proposeRights(lowered, listed(...names), anyTarget, dayMs)
    expect(proposed.map(record => record.kind)).to.deep.equal(Array.from({ length: 4 }, () => 'right.revoke'))
  })

  it('are limited to maxCount records a round', () => {
    const state = start(serviceOf(...Array.from({ length: 10 }, (_, index) => modelOf(`m${index}`, 3))))
    const limited = { ...anyTarget, maxCount: 7 }
    expect(proposeRights(state, listed(...names), limited, dayMs)).to.have.length(7)
  })

  it('are divided among routers, with one proposer per target', () => {
    const routers = ['r1', 'r2', 'r3'] as readonly string[] as readonly InstanceName[]
    for (const target of ['reader/a', 'reader/b', 'reader/c']) {
      expect(routers.filter(self => shouldPropose(target, routers, self, dayMs))).to.have.length(1)
    }
  })

  // A router may be listed but unable to reach the log. As the only proposer for a target it would
  // leave the model's rights ungranted, and its callers refused, for as long as it is listed.
  it('pass from router to router in turn', () => {
    const routers = ['r1', 'r2', 'r3'] as readonly string[] as readonly InstanceName[]
    const turns = [0, 1, 2].map(turn => dayMs + turn * PROPOSER_TURN_MS)
    for (const self of routers) {
      expect(turns.filter(turnMs => shouldPropose('reader/a', routers, self, turnMs))).to.have.length(1)
    }
  })
})

describe('proposals of voids', () => {
  const readAt = (atMs: number, ...present: readonly string[]) => ({ instances: listed(...present), sentAtMs: atMs, answeredAtMs: atMs })
  const rest = names.slice(1)
  const trackAbsenceOfA1 = (state: AgreedState, stepMs: number) => {
    let absences = noAbsences
    for (let atMs = 0; atMs <= MIN_LIST_ABSENCE_MS; atMs += stepMs) absences = trackAbsences(absences, state, readAt(atMs, ...rest))
    return absences
  }

  it('are made for an instance that is off the list and unreachable, and its slots are granted elsewhere after the wait', () => {
    const state = foldProposals(start(serviceOf(modelOf('m', 6))))
    const absences = trackAbsenceOfA1(state, 5_000)
    const voids = proposeVoids(state, absences, { ...anyTarget, engineOf: () => 'unreachable' })
    expect(voids.map(record => record.kind === 'instance.void' && record.instance)).to.deep.equal(['a1'])
    const freed = fold(state, voids)
    expect(holdersOf(freed, 'm')).to.have.length(5)
    const later = fold(freed, [agentIn('a7', 'dc-0')], VOID_GRANT_DELAY_MS)
    expect(holdersOf(foldProposals(later, listed(...rest, 'a7')), 'm')).to.include('a7')
    expect(findAbsent(freed, absences)).to.deep.equal([])
  })

  it('are not made while the engine answers and does not enforce fences', () => {
    // An agent is cut off from the log and off the list, but its engine still answers. The agent's next
    // order can undo any unload that a router orders, so after a void the model could be loaded both
    // there and at the slot's next holder.
    const state = foldProposals(start(serviceOf(modelOf('m', 1))))
    expect(proposeVoids(state, trackAbsenceOfA1(state, 5_000), { ...anyTarget, engineOf: () => 'reachable' })).to.deep.equal([])
  })

  it('are not made by a proposer whose reads of the list were too far apart', () => {
    const state = foldProposals(start(serviceOf(modelOf('m', 1))))
    expect(findAbsent(state, trackAbsenceOfA1(state, MIN_LIST_ABSENCE_MS))).to.deep.equal([])
  })
})
