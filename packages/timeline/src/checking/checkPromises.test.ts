import { expect } from 'chai'

import { checkPromises } from './checkPromises.js'
import { PromiseName } from './types.js'

import type { EventRecord, InstanceName } from '@figmount/base'
import type { TimedEvent } from '../ordering/orderEvents.js'

const timedEvent = (atMs: number, instance: string, role: string, name: string, fields: Partial<EventRecord> = {}): TimedEvent => ({
  atMs,
  event: { number: 1, name, instance: instance as InstanceName, role, sequence: atMs, clock: atMs, atUnixMs: atMs, ...fields }
})

const brokenPromises = (...events: readonly TimedEvent[]): readonly PromiseName[] =>
  checkPromises(events).violations.map(violation => violation.promise)

const key = { caller: 'c', requestKey: 'k' }
const nonRepeatable = { ...key, repeatable: false }

describe('checkPromises', () => {
  it('detects more replicas than allowed', () => {
    const load = timedEvent(0, 'agent-1', 'agent', 'loadOrdered', { model: 's/m', maxReplicas: 1 })
    const first = timedEvent(1, 'engine-1', 'engine', 'loadStarted', { model: 's/m' })
    const second = timedEvent(3, 'engine-2', 'engine', 'loadStarted', { model: 's/m' })
    expect(brokenPromises(load, first, second)).to.deep.equal([PromiseName.Replicas])
    expect(brokenPromises(load, first, timedEvent(2, 'engine-1', 'engine', 'modelUnloaded', { model: 's/m' }), second)).to.deep.equal([])
    expect(brokenPromises(load, first, timedEvent(2, 'engine-1', 'engine', 'engineStarted'), second)).to.deep.equal([])
    expect(brokenPromises(load, first, timedEvent(2, 'engine-1', 'rig', 'processExited'), second)).to.deep.equal([])
  })

  it('detects overcommitted memory', () => {
    expect(brokenPromises(timedEvent(0, 'a', 'agent', 'loadOrdered', { memoryMb: 11, memoryCapacityMb: 10 }))).to.deep.equal([PromiseName.Memory])
  })

  it('detects a request that never ends', () => {
    const received = timedEvent(0, 'r', 'router', 'requestReceived', { ...key, waitMs: 100 })
    expect(brokenPromises(received, timedEvent(9_000, 'r', 'router', 'linkOpened'))).to.deep.equal([PromiseName.RequestsEnded])
    expect(brokenPromises(received, timedEvent(50, 'r', 'router', 'requestRefused', key), timedEvent(9_000, 'r', 'router', 'linkOpened'))).to.deep.equal([])
  })

  it('detects a request that was open at a graceful stop', () => {
    expect(brokenPromises(timedEvent(0, 'r', 'router', 'requestReceived', key), timedEvent(5, 'r', 'router', 'processStopped'))).to.deep.equal([PromiseName.GracefulStop])
  })

  it('detects a second run of a request that may not be repeated', () => {
    expect(brokenPromises(timedEvent(0, 'a', 'agent', 'engineRunStarted', nonRepeatable), timedEvent(1, 'b', 'agent', 'engineRunStarted', nonRepeatable)))
      .to.deep.equal([PromiseName.AtMostOnce])
  })

  it('detects a refusal as "not run" after a run', () => {
    const refused = timedEvent(5, 'r', 'router', 'requestRefused', { ...key, runState: 'not_run' })
    expect(brokenPromises(timedEvent(0, 'a', 'agent', 'engineRunStarted', nonRepeatable), refused)).to.deep.equal([PromiseName.NotRun])
    expect(brokenPromises(refused, timedEvent(9, 'a', 'agent', 'engineRunStarted', nonRepeatable))).to.deep.equal([])
  })

  it('detects a second answer and a wrong answer', () => {
    expect(brokenPromises(timedEvent(0, 'c', 'load', 'answerWhole', key), timedEvent(1, 'c', 'load', 'answerWhole', key))).to.deep.equal([PromiseName.WholeAnswers])
    expect(brokenPromises(timedEvent(0, 'c', 'load', 'answerWrong', key))).to.deep.equal([PromiseName.WholeAnswers])
  })

  it('detects work that a draining agent admits', () => {
    const leaving = timedEvent(0, 'a', 'agent', 'drainStarted')
    expect(brokenPromises(leaving, timedEvent(9_000, 'a', 'agent', 'attemptQueued'))).to.deep.equal([PromiseName.Leaving])
    expect(brokenPromises(leaving, timedEvent(100, 'a', 'agent', 'attemptQueued'))).to.deep.equal([])
  })

  it('detects a configuration that reverts', () => {
    const item = 'service/s'
    expect(brokenPromises(timedEvent(0, 'a', 'agent', 'configInForce', { item, version: '10' }), timedEvent(1, 'a', 'agent', 'configInForce', { item, version: '9' })))
      .to.deep.equal([PromiseName.Configuration])
  })

  it('counts the cases of each promise', () => {
    expect(checkPromises([timedEvent(0, 'r', 'router', 'requestReceived', key)]).caseCounts[PromiseName.RequestsEnded]).to.equal(1)
  })
})
