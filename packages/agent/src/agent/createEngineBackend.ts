import { runInBackground } from '@figmount/base'
import { findModel, findService } from '@figmount/records'
import { RefusalReason, WaitState } from '@figmount/schema'

import { createEngineWatch } from '../engine/createEngineWatch.js'
import { createLoader } from '../loading/createLoader.js'
import { findSlot, readyInMs } from '../loading/slots.js'
import { isAnnounced } from '../rights/keepAnnounced.js'
import { runOnEngine } from '../running/runOnEngine.js'
import { notRun } from './refusals.js'

import type { ModelId } from '@figmount/base'
import type { RefusalNote } from '@figmount/peers'
import type { AuthorityWatch } from '../authority/createAuthority.js'
import type { Attempt, Progress } from '../attempts/types.js'
import type { EngineClient } from '../engine/types.js'
import type { EngineWatch } from '../engine/createEngineWatch.js'
import type { Loader } from '../loading/createLoader.js'
import type { Demand, ModelPlan } from '../loading/types.js'
import type { HeldRights } from '../rights/types.js'
import type { BackendView } from './createDispatcher.js'
import type { AgentContext } from './types.js'

interface Options {
  readonly context: AgentContext
  readonly engine: EngineClient
  readonly authority: AuthorityWatch
  readonly rights: () => HeldRights
  readonly isDraining: () => boolean
  readonly demands: () => ReadonlyMap<ModelId, Demand>
  /** Time that the queued work takes, for the estimate sent to waiting requests. */
  readonly queuedMs: () => number
  readonly onDeath: (incarnation: string) => void
  readonly schedulePump: () => void
}

/** The backend of an agent whose backend server is a model engine. */
export interface EngineBackend extends BackendView {
  readonly loader: Loader
  readonly watch: EngineWatch
  readonly plan: () => void
  readonly planOf: (model: ModelId) => ModelPlan | undefined
  readonly stop: () => void
}

/** Creates the backend for a model engine. */
export const createEngineBackend = (options: Options): EngineBackend => {
  const { context, engine, authority, rights, schedulePump } = options
  const { settings, timers, events, records, decisions, instance } = context

  const loader = createLoader({ engine, timers, events, kvCacheMb: settings.limits.kv_cache_mb, backOffLoad: decisions.backOffLoad, random: decisions.random, onChange: schedulePump })
  const watch = createEngineWatch({
    engine,
    timers,
    events,
    onInventory: loader.takeInventory,
    onDeath: options.onDeath,
    onChange: schedulePump
  })

  const planOf = (model: ModelId): ModelPlan | undefined => {
    const spec = findModel(records.state(), model)
    const service = findService(records.state(), model.slice(0, model.indexOf('/')) as Parameters<typeof findService>[1])
    return spec && service && { spec, idleCostWeight: service.idleCostWeight }
  }

  const versionOf = ({ request }: Pick<Attempt, 'request'>): string =>
    request.version === '' ? planOf(request.model)?.spec.currentVersion ?? '' : request.version

  const refuse = (reason: RefusalReason, detail: string, step: string, retryAfterMs?: number): RefusalNote =>
    notRun({ reason, detail, step, peer: instance, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })

  const refusalFor = ({ request }: Pick<Attempt, 'request'>): RefusalNote | undefined => {
    const plan = planOf(request.model)
    if (!plan) return refuse(RefusalReason.UNKNOWN_TARGET, `no model ${request.model}`, 'loading.find', 0)
    const { spec } = plan
    if (request.version !== '' && !spec.versions.includes(request.version)) {
      return refuse(RefusalReason.UNKNOWN_TARGET, `no version ${request.version}`, 'loading.find', 0)
    }
    const right = rights().slots.get(request.model)
    if (!right || right.revoked || right.slotIndex >= spec.maxReplicas) return refuse(RefusalReason.UNAVAILABLE, `no right to hold ${request.model}`, 'loading.right')
    if (request.adapter !== '') {
      const adapter = spec.adapters.find(({ name }) => name === request.adapter)
      if (!adapter) return refuse(RefusalReason.UNKNOWN_TARGET, `no adapter ${request.adapter}`, 'loading.find', 0)
      if (right.slotIndex >= (adapter.maxReplicas ?? spec.maxReplicas)) {
        return refuse(RefusalReason.UNAVAILABLE, `slot ${right.slotIndex} may not load adapter ${request.adapter}`, 'loading.adapter')
      }
    }
    const slot = findSlot(loader.state(), request.model)
    const { capacityMb, kvCacheMb } = loader.state().ledger
    if (capacityMb > 0 && spec.memoryMb > capacityMb - kvCacheMb) {
      return refuse(RefusalReason.LOAD_FAILED, `${spec.memoryMb} MB do not fit into ${capacityMb - kvCacheMb} MB`, 'memory.reserve')
    }
    if (options.isDraining() && slot.phase !== 'ready' && slot.phase !== 'loading') {
      return refuse(RefusalReason.STOPPING, 'the agent is leaving and the model is not loaded', 'leaving.refuse')
    }
    return undefined
  }

  const canStart = (attempt: Pick<Attempt, 'request'>): boolean => {
    const slot = findSlot(loader.state(), attempt.request.model)
    if (slot.phase !== 'ready' || slot.version !== versionOf(attempt)) return false
    if (slot.openOrder?.kind === 'unload') return false
    const { adapter } = attempt.request
    return adapter === '' || slot.adapters.get(adapter)?.phase === 'ready'
  }

  const progressOf = (attempt: Attempt): Progress => {
    const slot = findSlot(loader.state(), attempt.request.model)
    if (slot.phase === 'ready') return { state: WaitState.QUEUED, estimatedWaitMs: Math.round(options.queuedMs()) }
    return { state: WaitState.LOADING, estimatedWaitMs: Math.round(readyInMs(loader.state(), slot, timers.nowMs()) + options.queuedMs()) }
  }

  return {
    loader,
    watch,
    planOf,
    isUp: watch.isUp,
    batchSize: () => watch.last()?.batchSize ?? 1,
    canStart,
    refusalFor,
    versionOf,
    progressOf,
    readyInMs: ({ request }) => readyInMs(loader.state(), findSlot(loader.state(), request.model), timers.nowMs()),
    onUse: ({ request }, wasIdle) => loader.recordUse(request.model, request.adapter, wasIdle),
    run: runOnEngine({ engine, timers, events, incarnation: () => watch.last()?.incarnation ?? '' }),
    onRunFault: end => {
      if (end.kind === 'interrupted' && end.died) watch.reportDeath(end.incarnation)
      else if (end.kind === 'notRun' && end.isBackendDown) watch.reportFault(end.fault)
      // The slots and the ledger may be out of date after a fault; the engine's inventory is authoritative.
      runInBackground(events, 'engine.inventory', watch.refresh())
    },
    plan: () => {
      // Before the agent has read back its own announcement it may see no rights, and would unload every loaded model.
      if (!watch.isUp() || !isAnnounced(context)) return
      loader.plan({
        rights: rights().slots,
        demands: options.demands(),
        planOf,
        mayLoad: authority.mayLoad(),
        draining: options.isDraining(),
        maxStoreLoads: Math.max(1, settings.tuning.store_loads),
        keepAlive: decisions.keepAlive,
        chooseVictims: decisions.chooseVictims,
        orderLoads: decisions.orderLoads
      })
    },
    stop: () => {
      watch.stop()
      loader.stop()
    }
  }
}
