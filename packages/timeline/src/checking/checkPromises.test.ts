import { expect } from 'chai'

import { checkPromises } from './checkPromises.js'
import { PromiseName } from './types.js'

import type { EventRecord, InstanceName } from '@figmount/base'
import type { TimedEvent } from '../ordering/orderEvents.js'

const timed = (atMs: number, instance: string, role: string, name: string, fields: Partial<EventRecord> = {}): TimedEvent => ({
  atMs,
  event: { number: 1, name, instance: instance as InstanceName, role, sequence: atMs, clock: atMs, atUnixMs: atMs, ...fields }
})

const violated = (...events: readonly TimedEvent[]): readonly PromiseName[] =>
  checkPromises(events).violations.map(violation => violation.promise)

const key = { caller: 'c', requestKey: 'k' }
const nonRepeatable = { ...key, repeatable: false }

describe('checkPromises', () => {
  it('detects more replicas than allowed', () => {
    const load = timed(0, 'agent-1', 'agent', 'loadOrdered', { model: 's/m', maxReplicas: 1 })
    const first = timed(1, 'engine-1', 'engine', 'loadStarted', { model: 's/m' })
    const second = timed(3, 'engine-2', 'engine', 'loadStarted', { model: 's/m' })
    expect(violated(load, first, second)).to.deep.equal([PromiseName.Replicas])
    expect(violated(load, first, timed(2, 'engine-1', 'engine', 'modelUnloaded', { model: 's/m' }), second)).to.deep.equal([])
    expect(violated(load, first, timed(2, 'engine-1', 'engine', 'engineStarted'), second)).to.deep.equal([])
    expect(violated(load, first, timed(2, 'engine-1', 'rig', 'processExited'), second)).to.deep.equal([])
  })

  it('detects overcommitted memory', () => {
    expect(violated(timed(0, 'a', 'agent', 'loadOrdered', { memoryMb: 11, memoryCapacityMb: 10 }))).to.deep.equal([PromiseName.Memory])
  })

  it('detects a request that never ends', () => {
    const received = timed(0, 'r', 'router', 'requestReceived', { ...key, waitMs: 100 })
    expect(violated(received, timed(9_000, 'r', 'router', 'linkOpened'))).to.deep.equal([PromiseName.RequestsEnded])
    expect(violated(received, timed(50, 'r', 'router', 'requestRefused', key), timed(9_000, 'r', 'router', 'linkOpened'))).to.deep.equal([])
  })

  it('detects a request that was open at a graceful stop', () => {
    expect(violated(timed(0, 'r', 'router', 'requestReceived', key), timed(5, 'r', 'router', 'processStopped'))).to.deep.equal([PromiseName.GracefulStop])
  })

  it('detects a second run of a request that may not be repeated', () => {
    expect(violated(timed(0, 'a', 'agent', 'engineRunStarted', nonRepeatable), timed(1, 'b', 'agent', 'engineRunStarted', nonRepeatable)))
      .to.deep.equal([PromiseName.AtMostOnce])
  })

  it('detects a refusal as "not run" after a run', () => {
    const refused = timed(5, 'r', 'router', 'requestRefused', { ...key, runState: 'not_run' })
    expect(violated(timed(0, 'a', 'agent', 'engineRunStarted', nonRepeatable), refused)).to.deep.equal([PromiseName.NotRun])
    expect(violated(refused, timed(9, 'a', 'agent', 'engineRunStarted', nonRepeatable))).to.deep.equal([])
  })

  it('detects a second answer and a wrong answer', () => {
    expect(violated(timed(0, 'c', 'load', 'answerWhole', key), timed(1, 'c', 'load', 'answerWhole', key))).to.deep.equal([PromiseName.WholeAnswers])
    expect(violated(timed(0, 'c', 'load', 'answerWrong', key))).to.deep.equal([PromiseName.WholeAnswers])
  })

  it('detects work that a draining agent admits', () => {
    const leaving = timed(0, 'a', 'agent', 'drainStarted')
    expect(violated(leaving, timed(9_000, 'a', 'agent', 'attemptQueued'))).to.deep.equal([PromiseName.Leaving])
    expect(violated(leaving, timed(100, 'a', 'agent', 'attemptQueued'))).to.deep.equal([])
  })

  it('detects a configuration that reverts', () => {
    const item = 'service/s'
    expect(violated(timed(0, 'a', 'agent', 'configInForce', { item, version: '10' }), timed(1, 'a', 'agent', 'configInForce', { item, version: '9' })))
      .to.deep.equal([PromiseName.Configuration])
  })

  it('counts the cases of each promise', () => {
    expect(checkPromises([timed(0, 'r', 'router', 'requestReceived', key)]).caseCounts[PromiseName.RequestsEnded]).to.equal(1)
  })
})
