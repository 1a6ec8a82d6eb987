import { EitherAsync, Left, Right } from 'purify-ts'
import { createEventLog, createVirtualTimers, makeFault } from '@figmount/base'
import { OrderAnswer } from '@figmount/fleet'

import { createDemandTotals } from '../demand/createDemandTotals.js'
import { createOrderer } from '../engine/createOrderer.js'
import { createWantRegistry } from '../wants/createWantRegistry.js'

import type { Fault, InstanceName, VirtualTimers } from '@figmount/base'
import type { EngineSpec, Order, ServerReport } from '@figmount/fleet'
import type { Either } from 'purify-ts'
import type { Orderer } from '../engine/createOrderer.js'
import type { LoadLeases } from '../leases/types.js'

const SPEC: EngineSpec = {
  models: ['a', 'b', 'c'].map(name => ({
    name, weightsMb: 100, coldLoadMs: 6_000, diskLoadMs: 400, memoryLoadMs: 300, adapterMb: 0
  })),
  weightsCapacityMb: 100,
  adapterSlots: 2
}

/** The report of an engine without models that has a copy of model a on its disk. */
export const reportOf = (given: Partial<ServerReport> = {}): ServerReport => ({
  models: [],
  arrivingAdapters: [],
  isBusy: false,
  orderCount: 0,
  runningCount: 0,
  startingCount: 0,
  isDraining: false,
  inMemory: [],
  onDisk: ['a'],
  startedAtUnixMs: 1_000,
  ...given
})

/** An orderer and its engine. */
export interface TestSetup {
  readonly timers: VirtualTimers
  readonly orderer: Orderer
  readonly sent: Array<Order & { readonly serverId: string }>
  readonly want: (modelName: string) => void
  readonly wantAdapter: (modelName: string, adapterName: string) => void
  /** Sets the models for which a router reports running requests at this engine. */
  readonly runs: (...modelNames: string[]) => void
  /** Gives up all wants. */
  readonly drop: () => void
  /** Advances virtual time and lets promises settle in between. */
  readonly pass: (durationMs: number) => Promise<void>
  readonly otherServerCount: () => number
  /** Simulates a restart of the engine under the same id; the argument is its first report. */
  readonly restart: (given?: Partial<ServerReport>) => void
}

/** The engine accepts the order. */
export const accepted: Either<Fault, OrderAnswer> = Right(OrderAnswer.Accepted)
/** The order gets no answer. */
export const lost: Either<Fault, OrderAnswer> = Left(makeFault('timeout', 'order', 'engine', 'no answer'))

/** Leases of an agent that cannot reach the store: loads begin without one. */
const NO_LEASES: LoadLeases = { review: () => {}, leasedModel: () => undefined, stop: () => {} }

/** Creates an orderer whose engine gives these answers to orders, and then accepts all. */
export const setUpOrderer = (answers: Array<Either<Fault, OrderAnswer>>, isFirstStart = true, leases = NO_LEASES): TestSetup => {
  const timers = createVirtualTimers()
  const wants = createWantRegistry(timers)
  const demand = createDemandTotals(timers)
  const sent: TestSetup['sent'] = []
  let otherServerCount = 0
  const orderer = createOrderer({
    engine: {
      readServerId: () => EitherAsync.liftEither(Right('i-1')),
      readReport: () => EitherAsync.liftEither(Right(reportOf())),
      sendOrder: (to, order) => {
        sent.push({ ...order, serverId: to })
        return EitherAsync.liftEither(answers.shift() ?? accepted)
      }
    },
    timers,
    reads: { pass: async () => {}, isLate: () => false },
    events: createEventLog({ instance: 'a' as InstanceName, role: 'agent', timers }),
    demand,
    wants,
    leases,
    spec: () => SPEC,
    serverId: () => 'i-1',
    noteOtherServer: () => { otherServerCount += 1 },
    coldSpacingMs: 5_100,
    isFirstStart,
    changed: () => {},
    pollNow: () => {}
  })
  const add = (modelName: string, adapterName: string): void => {
    wants.add('r', { type: 'want', wantId: 1, serverId: 'i-1', modelName, adapterName, waitingCount: 1, lateCount: 0, timeLeftMs: 60_000 }, () => {})
  }
  const settle = async (): Promise<void> => await new Promise(resolve => { setImmediate(resolve) })
  return {
    timers,
    orderer,
    sent,
    otherServerCount: () => otherServerCount,
    restart: (given = {}) => {
      orderer.noteRestart()
      orderer.take(reportOf({ startedAtUnixMs: 2_000, ...given }))
    },
    want: modelName => { add(modelName, '') },
    wantAdapter: add,
    runs: (...runningModels) => { demand.take('r', { type: 'demand', models: [], replicas: [], runningModels }) },
    drop: () => { wants.failAll('no caller waits') },
    pass: async durationMs => {
      for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
        timers.advance(10)
        await settle()
      }
    }
  }
}
