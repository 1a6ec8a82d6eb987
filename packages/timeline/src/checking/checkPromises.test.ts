import { expect } from 'chai'

import { checkPromises } from './checkPromises.js'
import { PromiseName } from './types.js'

import type { EventRecord, InstanceName } from '@figmount/base'
import type { TimedEvent } from '../ordering/orderEvents.js'

const at = (atMs: number, instance: string, role: string, name: string, fields: Partial<EventRecord> = {}): TimedEvent => ({
  atMs,
  event: { number: 1, name, instance: instance as InstanceName, role, sequence: atMs, clock: atMs, atUnixMs: atMs, ...fields }
})

const broken = (...events: readonly TimedEvent[]): readonly PromiseName[] =>
  checkPromises(events).violations.map(violation => violation.promise)

const key = { caller: 'c', requestKey: 'k' }
const once = { ...key, repeatable: false }

describe('checker of promises', () => {
  it('sees a replica too many', () => {
    const load = at(0, 'agent-1', 'agent', 'loadOrdered', { model: 's/m', maxReplicas: 1 })
    const first = at(1, 'engine-1', 'engine', 'loadStarted', { model: 's/m' })
    const second = at(3, 'engine-2', 'engine', 'loadStarted', { model: 's/m' })
    expect(broken(load, first, second)).to.deep.equal([PromiseName.Replicas])
    expect(broken(load, first, at(2, 'engine-1', 'engine', 'modelUnloaded', { model: 's/m' }), second)).to.deep.equal([])
    expect(broken(load, first, at(2, 'engine-1', 'engine', 'engineStarted'), second)).to.deep.equal([])
    expect(broken(load, first, at(2, 'engine-1', 'rig', 'processExited'), second)).to.deep.equal([])
  })

  it('sees memory that is overcommitted', () => {
    expect(broken(at(0, 'a', 'agent', 'loadOrdered', { memoryMb: 11, memoryCapacityMb: 10 }))).to.deep.equal([PromiseName.Memory])
  })

  it('sees a request that never ends', () => {
    const received = at(0, 'r', 'router', 'requestReceived', { ...key, waitMs: 100 })
    expect(broken(received, at(9_000, 'r', 'router', 'linkOpened'))).to.deep.equal([PromiseName.Ended])
    expect(broken(received, at(50, 'r', 'router', 'requestRefused', key), at(9_000, 'r', 'router', 'linkOpened'))).to.deep.equal([])
  })

  it('sees a request that a planned stop cut', () => {
    expect(broken(at(0, 'r', 'router', 'requestReceived', key), at(5, 'r', 'router', 'processStopped'))).to.deep.equal([PromiseName.Graceful])
  })

  it('sees a second run', () => {
    expect(broken(at(0, 'a', 'agent', 'engineRunStarted', once), at(1, 'b', 'agent', 'engineRunStarted', once)))
      .to.deep.equal([PromiseName.Once])
  })

  it('sees an untrue "not run"', () => {
    const refused = at(5, 'r', 'router', 'requestRefused', { ...key, runState: 'not_run' })
    expect(broken(at(0, 'a', 'agent', 'engineRunStarted', once), refused)).to.deep.equal([PromiseName.NotRun])
    expect(broken(refused, at(9, 'a', 'agent', 'engineRunStarted', once))).to.deep.equal([])
  })

  it('sees a second and a broken answer', () => {
    expect(broken(at(0, 'c', 'load', 'answerWhole', key), at(1, 'c', 'load', 'answerWhole', key))).to.deep.equal([PromiseName.Answers])
    expect(broken(at(0, 'c', 'load', 'answerWrong', key))).to.deep.equal([PromiseName.Answers])
  })

  it('sees work that a leaving agent takes', () => {
    const leaving = at(0, 'a', 'agent', 'drainStarted')
    expect(broken(leaving, at(9_000, 'a', 'agent', 'attemptQueued'))).to.deep.equal([PromiseName.Leaving])
    expect(broken(leaving, at(100, 'a', 'agent', 'attemptQueued'))).to.deep.equal([])
  })

  it('sees a configuration that reverts', () => {
    const item = 'service/s'
    expect(broken(at(0, 'a', 'agent', 'configInForce', { item, version: '10' }), at(1, 'a', 'agent', 'configInForce', { item, version: '9' })))
      .to.deep.equal([PromiseName.Configuration])
  })

  it('counts what it judged', () => {
    expect(checkPromises([at(0, 'r', 'router', 'requestReceived', key)]).caseCounts[PromiseName.Ended]).to.equal(1)
  })
})
