import { EitherAsync, Left, Right } from 'purify-ts'
import { makeFault } from '@figmount/base'
import { OrderAnswer } from '@figmount/fleet'

import type { VirtualTimers } from '@figmount/base'
import type { EnginePort, EngineSpec, Order, ServerReport } from '@figmount/fleet'

/** A load from the weight store as the store sees it. */
export interface StoreLoad {
  readonly modelName: string
  readonly engineName: string
  readonly beganMs: number
  readonly endsMs: number
  /** Loads under way when it began, including itself. */
  readonly concurrentCount: number
}

/** A weight store that carries one load at full speed: n loads under way make the next one take n + 1 times as long. */
export interface TestStore {
  /** Returns the end of the load. */
  readonly begin: (modelName: string, engineName: string, coldLoadMs: number) => number
  /** The engine has lost power: its load is gone. */
  readonly abort: (engineName: string) => void
  /** All loads that have begun, the oldest first. */
  readonly loads: () => readonly StoreLoad[]
}

export const createTestStore = (timers: VirtualTimers): TestStore => {
  const loads: StoreLoad[] = []
  const running = new Map<string, StoreLoad>()
  return {
    begin: (modelName, engineName, coldLoadMs) => {
      const beganMs = timers.nowMs()
      for (const [name, load] of [...running]) {
        if (load.endsMs <= beganMs) running.delete(name)
      }
      const concurrentCount = running.size + 1
      const load = { modelName, engineName, beganMs, endsMs: beganMs + coldLoadMs * concurrentCount, concurrentCount }
      running.set(engineName, load)
      loads.push(load)
      return load.endsMs
    },
    abort: engineName => { running.delete(engineName) },
    loads: () => loads
  }
}

/** An engine with a disk that outlasts a loss of power. */
export interface TestEngine {
  readonly name: string
  readonly port: EnginePort
  readonly setPower: (isOn: boolean) => void
  readonly drain: () => void
}

interface Options {
  readonly name: string
  readonly timers: VirtualTimers
  readonly store: TestStore
  readonly spec: EngineSpec
  readonly held: readonly string[]
  readonly onDisk: readonly string[]
}

export const createTestEngine = ({ name, timers, store, spec, held: initiallyHeld, onDisk }: Options): TestEngine => {
  const disk = new Set([...onDisk, ...initiallyHeld])
  let held = new Set(initiallyHeld)
  let startedAtUnixMs = 1
  let orderCount = 0
  let isBusy = false
  let isDraining = false
  let hasPower = true
  let cancelLoad = (): void => {}

  const report = (): ServerReport => ({
    models: [...held].map(modelName => ({ name: modelName, adapters: [] })),
    arrivingAdapters: [],
    isBusy,
    orderCount,
    runningCount: 0,
    startingCount: 0,
    isDraining,
    inMemory: [],
    onDisk: [...disk],
    startedAtUnixMs
  })

  const load = (modelName: string): OrderAnswer => {
    const model = spec.models.find(known => known.name === modelName)
    const takenMb = spec.models.filter(known => held.has(known.name)).reduce((sum, known) => sum + known.weightsMb, 0)
    if (!model || takenMb + model.weightsMb > spec.weightsCapacityMb) return OrderAnswer.Rejected
    const endsMs = disk.has(modelName) ? timers.nowMs() + model.diskLoadMs : store.begin(modelName, name, model.coldLoadMs)
    isBusy = true
    cancelLoad = timers.after(endsMs - timers.nowMs(), () => {
      isBusy = false
      held.add(modelName)
      disk.add(modelName)
    })
    return OrderAnswer.Accepted
  }

  const take = ({ operation, modelName, expectedOrderCount }: Order): OrderAnswer => {
    if (expectedOrderCount !== orderCount) return OrderAnswer.Conflict
    if (isBusy) return OrderAnswer.Rejected
    const answer = operation === 'load' ? load(modelName) : OrderAnswer.Accepted
    if (operation === 'unload') held.delete(modelName)
    if (answer === OrderAnswer.Accepted) orderCount += 1
    return answer
  }

  const unavailable = makeFault('unavailable', 'engine', name, 'no process listens')
  return {
    name,
    port: {
      readServerId: () => EitherAsync.liftEither(hasPower ? Right(name) : Left(unavailable)),
      readReport: () => EitherAsync.liftEither(hasPower ? Right(report()) : Left(unavailable)),
      sendOrder: (_serverId, order) => EitherAsync.liftEither(hasPower ? Right(take(order)) : Left(unavailable))
    },
    setPower: isOn => {
      hasPower = isOn
      if (isOn) return
      cancelLoad()
      store.abort(name)
      held = new Set()
      isBusy = false
      orderCount = 0
      startedAtUnixMs += 1
    },
    drain: () => { isDraining = true }
  }
}
