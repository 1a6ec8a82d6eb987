import { StandinEvent } from '@figmount/standin'
import { expect } from 'chai'

import { RigEvent } from '../rig/events.js'
import { checkEngines } from './checkEngines.js'

import type { EventFields, EventKind, EventRecord, InstanceName } from '@figmount/base'

let atUnixMs = 0
const event = (instance: string, kind: EventKind, fields: EventFields = {}): EventRecord =>
  ({ number: kind.number, name: kind.name, instance: instance as InstanceName, role: 'standin', sequence: 0, clock: 0, atUnixMs: atUnixMs++, ...fields })

const { loadStarted, modelUnloaded, generateStarted } = StandinEvent

describe('checkEngines', () => {
  it('counts replicas of a model that are loaded at the same time', () => {
    const apart = [event('e1', loadStarted, { model: 'm' }), event('e1', modelUnloaded, { model: 'm' }), event('e2', loadStarted, { model: 'm' })]
    expect(checkEngines(apart).maxReplicas.get('m')).to.equal(1)
    const together = [event('e1', loadStarted, { model: 'm' }), event('e2', loadStarted, { model: 'm' })]
    expect(checkEngines(together).maxReplicas.get('m')).to.equal(2)
  })

  it('drops the models of an engine that exited', () => {
    const events = [event('e1', loadStarted, { model: 'm' }), event('e1', RigEvent.processExited), event('e2', loadStarted, { model: 'm' })]
    const findings = checkEngines(events)
    expect(findings.maxReplicas.get('m')).to.equal(1)
    expect(findings.loadCounts.get('m')).to.equal(2)
  })

  it('reports memory over capacity and counts runs', () => {
    const events = [
      event('e1', loadStarted, { model: 'm', memoryMb: 11, memoryCapacityMb: 10 }),
      event('e1', generateStarted, { detail: 'wall' }), event('e1', generateStarted, { detail: 'wall' })
    ]
    const findings = checkEngines(events)
    expect(findings.overcommits).to.have.length(1)
    expect(findings.runCounts.get('wall')).to.equal(2)
  })
})
