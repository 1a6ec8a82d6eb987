import { freeMb } from '../memory/ledger.js'
import { findSlot, readyInMs } from '../loading/slots.js'

import type { ModelId } from '@figmount/base'
import type { AgentReport, ModelReport } from '@figmount/peers'
import type { Attempt } from '../attempts/types.js'
import type { Demand, EngineState, HeldSlot, ModelPlan } from '../loading/types.js'
import type { QueuedAttempt } from '../queueing/createQueue.js'
import type { Pace } from '../queueing/workAhead.js'

interface Options {
  readonly sequence: number
  readonly draining: boolean
  readonly queued: readonly QueuedAttempt[]
  readonly running: readonly Attempt[]
  readonly pace: Pace
  readonly queuedSeconds: number
  /** Omitted for a plain service. */
  readonly engine?: {
    readonly state: EngineState
    readonly slots: ReadonlyMap<ModelId, HeldSlot>
    readonly demands: ReadonlyMap<ModelId, Demand>
    readonly planOf: (model: ModelId) => ModelPlan | undefined
  }
  readonly nowMs: number
}

const reportModel = (options: Options, engine: NonNullable<Options['engine']>, right: HeldSlot): ModelReport => {
  const slot = findSlot(engine.state, right.model)
  const demand = engine.demands.get(right.model)
  const coldState = slot.tier === 'remote' ? 'cold' : slot.tier
  return {
    model: right.model,
    slotIndex: right.slotIndex,
    fence: right.fence,
    state: slot.phase === 'cold' ? coldState : slot.phase,
    version: slot.version,
    adapters: [...slot.adapters.values()].filter(({ phase }) => phase === 'ready').map(({ adapter }) => adapter),
    queuedCount: demand?.waitingCount ?? 0,
    runningCount: demand?.runningCount ?? 0,
    readyInMs: Math.round(readyInMs(engine.state, slot, options.nowMs))
  }
}

/** Creates the load report from which routers choose agents. Models with a revoked right are left out: they get no new work. */
export const makeReport = (options: Options): AgentReport => {
  const { engine, queued, running, pace } = options
  const ledger = engine?.state.ledger
  const models = engine ? [...engine.slots.values()].filter(({ revoked }) => !revoked).map(right => reportModel(options, engine, right)) : []
  return {
    sequence: options.sequence,
    draining: options.draining,
    runningCount: running.length,
    queuedCount: queued.length,
    batchSize: pace.batchSize,
    queuedSeconds: options.queuedSeconds,
    tokenIntervalMs: pace.tokenIntervalMs,
    memoryCapacityMb: ledger?.capacityMb ?? 0,
    memoryUsedMb: ledger ? ledger.capacityMb - freeMb(ledger) : 0,
    models
  }
}
