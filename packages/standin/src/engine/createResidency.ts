import { createClient, Code, ConnectError } from '@connectrpc/connect'
import { createTransport, sleep } from '@figmount/base'
import { CheckpointTier, WeightStore } from '@figmount/schema'

import { StandinEvent } from '../events.js'
import { checkpointName, findTier, cacheCheckpoint, createTiers } from './checkpointTiers.js'
import { removeAdapter, removeResident, emptyMemory, fits, setAdapter, setResident, usedMb } from './memoryState.js'

import type { AdapterOrder, LoadOrder, UnloadOrder } from '@figmount/schema'
import type { CheckpointTiers } from './checkpointTiers.js'
import type { EngineContext, MemoryState, ResidentEntry, Tier } from './types.js'

/** Result of an order: its duration, and the tier that the checkpoint was loaded from. */
export interface OrderResult {
  readonly tookMs: number
  readonly tier: CheckpointTier
}

/** Executes load and unload orders for models and adapters in the engine's memory. */
export interface Residency {
  readonly load: (order: LoadOrder) => Promise<OrderResult>
  readonly unload: (order: UnloadOrder) => Promise<OrderResult>
  readonly loadAdapter: (order: AdapterOrder) => Promise<OrderResult>
  readonly unloadAdapter: (order: AdapterOrder) => Promise<OrderResult>
  readonly memory: () => MemoryState
  readonly tiers: () => CheckpointTiers
  readonly counters: () => { readonly loadCounts: Readonly<Record<string, number>>, readonly maxUsedMb: number, readonly refusedFenceCount: number }
}

const TIER_MESSAGES: Readonly<Record<Tier, CheckpointTier>> = {
  memory: CheckpointTier.MEMORY,
  disk: CheckpointTier.DISK,
  remote: CheckpointTier.REMOTE
}

/** Creates the engine's memory. `onUnload` is called before a model is unloaded and ends the streams that run on it. */
export const createResidency = (context: EngineContext, onUnload: (model: string) => void): Residency => {
  const { settings, timers, events } = context
  const store = settings.weight_store === ''
    ? undefined
    : createClient(WeightStore, createTransport({ address: settings.weight_store }))
  const highestFence = new Map<string, number>()
  const pendingLoads = new Map<string, Promise<OrderResult>>()
  const loadCounts = new Map<string, number>()
  let memory = emptyMemory(settings.memory_capacity_mb)
  let tiers = createTiers(settings.memory_checkpoints, settings.disk_checkpoints)
  let maxUsedMb = 0
  let refusedFenceCount = 0

  const refuse = (model: string, fence: number, code: Code, reason: string): never => {
    events.emit(StandinEvent.orderRefused, { model, fence, reason })
    throw new ConnectError(reason, code)
  }

  const checkFence = (model: string, fence: number): void => {
    const highest = highestFence.get(model) ?? 0
    if (settings.enforces_fence && fence < highest) {
      refusedFenceCount += 1
      refuse(model, fence, Code.FailedPrecondition, `fence ${fence} is older than ${highest}`)
    }
    highestFence.set(model, Math.max(highest, fence))
  }

  const setMemory = (next: MemoryState): void => {
    memory = next
    maxUsedMb = Math.max(maxUsedMb, usedMb(memory))
  }

  const fetchRemote = async (order: LoadOrder): Promise<void> => {
    if (!store) return
    await store.fetch({ checkpoint: checkpointName(order.model, order.version), sizeMb: order.checkpointMb, instance: context.instance })
  }

  const transfer = async (order: LoadOrder, tier: Tier): Promise<void> => {
    if (tier === 'remote') await fetchRemote(order)
    const speed = tier === 'disk' ? settings.disk_load_mb_per_second : settings.memory_load_mb_per_second
    await sleep(timers, order.checkpointMb * 1000 / speed)
  }

  const runLoad = async (order: LoadOrder, entry: ResidentEntry): Promise<OrderResult> => {
    const { model, version } = order
    const name = checkpointName(model, version)
    const tier = findTier(tiers, name)
    const startedMs = timers.nowMs()
    events.emit(StandinEvent.loadStarted, {
      model, version, fence: entry.fence, memoryMb: usedMb(memory), memoryCapacityMb: memory.capacityMb, detail: tier
    })
    try {
      await transfer(order, tier)
    } catch (error) {
      if (memory.residents.get(model)?.state === 'loading') setMemory(removeResident(memory, model))
      events.emit(StandinEvent.loadFailed, { model, version, fence: entry.fence, reason: (error as Error).message })
      throw error
    }
    const current = memory.residents.get(model)
    if (!current) throw new ConnectError('unloaded during the load', Code.Aborted)
    tiers = cacheCheckpoint(tiers, name, order.checkpointMb, settings.memory_tier_mb, settings.disk_tier_mb)
    setMemory(setResident(memory, { ...current, state: 'ready' }))
    loadCounts.set(model, (loadCounts.get(model) ?? 0) + 1)
    const tookMs = Math.round(timers.nowMs() - startedMs)
    events.emit(StandinEvent.loadFinished, {
      model, version, fence: current.fence, durationMs: tookMs, memoryMb: usedMb(memory), memoryCapacityMb: memory.capacityMb, count: memory.residents.size
    })
    return { tookMs, tier: TIER_MESSAGES[tier] }
  }

  const load = async (order: LoadOrder): Promise<OrderResult> => {
    const { model, version } = order
    const fence = Number(order.fence)
    checkFence(model, fence)
    const resident = memory.residents.get(model)
    if (resident && resident.version !== version) {
      return refuse(model, fence, Code.FailedPrecondition, `version ${resident.version} is resident and must be unloaded first`)
    }
    if (resident) {
      setMemory(setResident(memory, { ...resident, fence: Math.max(resident.fence, fence) }))
      return await (pendingLoads.get(model) ?? { tookMs: 0, tier: CheckpointTier.MEMORY })
    }
    if (!fits(memory, order.memoryMb)) {
      return refuse(model, fence, Code.ResourceExhausted, `memory: ${usedMb(memory)} of ${memory.capacityMb} MB are taken, ${order.memoryMb} asked for`)
    }
    const entry: ResidentEntry = { model, version, fence, memoryMb: order.memoryMb, state: 'loading', adapters: new Map() }
    setMemory(setResident(memory, entry))
    // The load continues if the call that ordered it is cancelled, as in engines that load in the background.
    const run = runLoad(order, entry).finally(() => { pendingLoads.delete(model) })
    pendingLoads.set(model, run)
    return await run
  }

  const unload = async (order: UnloadOrder): Promise<OrderResult> => {
    const startedMs = timers.nowMs()
    checkFence(order.model, Number(order.fence))
    const resident = memory.residents.get(order.model)
    if (!resident) return { tookMs: 0, tier: CheckpointTier.UNSPECIFIED }
    if (resident.state === 'loading') return refuse(order.model, Number(order.fence), Code.Aborted, 'the model is being loaded')
    onUnload(order.model)
    await sleep(timers, settings.unload_ms)
    setMemory(removeResident(memory, order.model))
    events.emit(StandinEvent.modelUnloaded, {
      model: order.model, version: resident.version, fence: Number(order.fence), memoryMb: usedMb(memory), memoryCapacityMb: memory.capacityMb, count: memory.residents.size
    })
    return { tookMs: Math.round(timers.nowMs() - startedMs), tier: CheckpointTier.UNSPECIFIED }
  }

  const loadAdapter = async (order: AdapterOrder): Promise<OrderResult> => {
    const { model, adapter } = order
    const fence = Number(order.fence)
    checkFence(model, fence)
    const resident = memory.residents.get(model)
    if (resident?.state !== 'ready') return refuse(model, fence, Code.FailedPrecondition, 'the model is not resident')
    if (resident.adapters.has(adapter)) return { tookMs: 0, tier: CheckpointTier.MEMORY }
    if (!fits(memory, order.memoryMb)) {
      return refuse(model, fence, Code.ResourceExhausted, `memory: ${usedMb(memory)} of ${memory.capacityMb} MB are taken, ${order.memoryMb} asked for`)
    }
    setMemory(setResident(memory, setAdapter(resident, adapter, order.memoryMb)))
    await sleep(timers, settings.adapter_load_ms)
    events.emit(StandinEvent.adapterLoaded, { model, adapter, fence, memoryMb: usedMb(memory), memoryCapacityMb: memory.capacityMb })
    return { tookMs: settings.adapter_load_ms, tier: CheckpointTier.MEMORY }
  }

  const unloadAdapter = async (order: AdapterOrder): Promise<OrderResult> => {
    const { model, adapter } = order
    checkFence(model, Number(order.fence))
    const resident = memory.residents.get(model)
    if (!resident?.adapters.has(adapter)) return { tookMs: 0, tier: CheckpointTier.UNSPECIFIED }
    setMemory(setResident(memory, removeAdapter(resident, adapter)))
    events.emit(StandinEvent.adapterUnloaded, { model, adapter, fence: Number(order.fence), memoryMb: usedMb(memory), memoryCapacityMb: memory.capacityMb })
    return { tookMs: 0, tier: CheckpointTier.UNSPECIFIED }
  }

  return {
    load,
    unload,
    loadAdapter,
    unloadAdapter,
    memory: () => memory,
    tiers: () => tiers,
    counters: () => ({ loadCounts: Object.fromEntries(loadCounts), maxUsedMb, refusedFenceCount })
  }
}
