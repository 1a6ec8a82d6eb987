import { createClient, Code, ConnectError } from '@connectrpc/connect'
import { createTransport, sleep } from '@figmount/base'
import { CheckpointTier, WeightStore } from '@figmount/schema'

import { StandinEvent } from '../events.js'
import { checkpointName, findTier, keepCheckpoint, makeTiers } from './checkpointTiers.js'
import { dropAdapter, dropResident, emptyMemory, fits, putAdapter, putResident, usedMb } from './memoryState.js'

import type { AdapterOrder, LoadOrder, UnloadOrder } from '@figmount/schema'
import type { CheckpointTiers } from './checkpointTiers.js'
import type { EngineParts, MemoryState, ResidentEntry, Tier } from './types.js'

/** How an order went. */
export interface OrderOutcome {
  readonly tookMs: number
  readonly tier: CheckpointTier
}

/** The part of the engine that carries out orders on its memory. */
export interface Residency {
  readonly load: (order: LoadOrder) => Promise<OrderOutcome>
  readonly unload: (order: UnloadOrder) => Promise<OrderOutcome>
  readonly loadAdapter: (order: AdapterOrder) => Promise<OrderOutcome>
  readonly unloadAdapter: (order: AdapterOrder) => Promise<OrderOutcome>
  readonly memory: () => MemoryState
  readonly tiers: () => CheckpointTiers
  readonly counters: () => { readonly loadCounts: Readonly<Record<string, number>>, readonly maxUsedMb: number, readonly refusedFenceCount: number }
}

const TIER_MESSAGE: Readonly<Record<Tier, CheckpointTier>> = {
  memory: CheckpointTier.MEMORY,
  disk: CheckpointTier.DISK,
  remote: CheckpointTier.REMOTE
}

/** Makes the engine's memory. `onUnloaded` ends what ran on a model that goes. */
export const createResidency = (parts: EngineParts, onUnloaded: (model: string) => void): Residency => {
  const { settings, timers, events } = parts
  const store = settings.weight_store === ''
    ? undefined
    : createClient(WeightStore, createTransport({ address: settings.weight_store }))
  const highestFence = new Map<string, number>()
  const loading = new Map<string, Promise<OrderOutcome>>()
  const loadCounts = new Map<string, number>()
  let memory = emptyMemory(settings.memory_capacity_mb)
  let tiers = makeTiers(settings.memory_checkpoints, settings.disk_checkpoints)
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
    await store.fetch({ checkpoint: checkpointName(order.model, order.version), sizeMb: order.checkpointMb, instance: parts.instance })
  }

  const transfer = async (order: LoadOrder, tier: Tier): Promise<void> => {
    if (tier === 'remote') await fetchRemote(order)
    const speed = tier === 'disk' ? settings.disk_load_mb_per_second : settings.memory_load_mb_per_second
    await sleep(timers, order.checkpointMb * 1000 / speed)
  }

  const runLoad = async (order: LoadOrder, entry: ResidentEntry): Promise<OrderOutcome> => {
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
      if (memory.residents.get(model)?.state === 'loading') setMemory(dropResident(memory, model))
      events.emit(StandinEvent.loadFailed, { model, version, fence: entry.fence, reason: (error as Error).message })
      throw error
    }
    const current = memory.residents.get(model)
    if (!current) throw new ConnectError('unloaded during the load', Code.Aborted)
    tiers = keepCheckpoint(tiers, name, order.checkpointMb, settings.memory_tier_mb, settings.disk_tier_mb)
    setMemory(putResident(memory, { ...current, state: 'ready' }))
    loadCounts.set(model, (loadCounts.get(model) ?? 0) + 1)
    const tookMs = Math.round(timers.nowMs() - startedMs)
    events.emit(StandinEvent.loadFinished, {
      model, version, fence: current.fence, durationMs: tookMs, memoryMb: usedMb(memory), memoryCapacityMb: memory.capacityMb, count: memory.residents.size
    })
    return { tookMs, tier: TIER_MESSAGE[tier] }
  }

  const load = async (order: LoadOrder): Promise<OrderOutcome> => {
    const { model, version } = order
    const fence = Number(order.fence)
    checkFence(model, fence)
    const resident = memory.residents.get(model)
    if (resident && resident.version !== version) {
      return refuse(model, fence, Code.FailedPrecondition, `version ${resident.version} is resident and must be unloaded first`)
    }
    if (resident) {
      setMemory(putResident(memory, { ...resident, fence: Math.max(resident.fence, fence) }))
      return await (loading.get(model) ?? { tookMs: 0, tier: CheckpointTier.MEMORY })
    }
    if (!fits(memory, order.memoryMb)) {
      return refuse(model, fence, Code.ResourceExhausted, `memory: ${usedMb(memory)} of ${memory.capacityMb} MB are taken, ${order.memoryMb} asked for`)
    }
    const entry: ResidentEntry = { model, version, fence, memoryMb: order.memoryMb, state: 'loading', adapters: new Map() }
    setMemory(putResident(memory, entry))
    // The load goes on when the one who ordered it is gone, as in engines that load in the background.
    const run = runLoad(order, entry).finally(() => { loading.delete(model) })
    loading.set(model, run)
    return await run
  }

  const unload = async (order: UnloadOrder): Promise<OrderOutcome> => {
    const startedMs = timers.nowMs()
    checkFence(order.model, Number(order.fence))
    const resident = memory.residents.get(order.model)
    if (!resident) return { tookMs: 0, tier: CheckpointTier.UNSPECIFIED }
    if (resident.state === 'loading') return refuse(order.model, Number(order.fence), Code.Aborted, 'the model is being loaded')
    onUnloaded(order.model)
    await sleep(timers, settings.unload_ms)
    setMemory(dropResident(memory, order.model))
    events.emit(StandinEvent.modelUnloaded, {
      model: order.model, version: resident.version, fence: Number(order.fence), memoryMb: usedMb(memory), memoryCapacityMb: memory.capacityMb, count: memory.residents.size
    })
    return { tookMs: Math.round(timers.nowMs() - startedMs), tier: CheckpointTier.UNSPECIFIED }
  }

  const loadAdapter = async (order: AdapterOrder): Promise<OrderOutcome> => {
    const { model, adapter } = order
    const fence = Number(order.fence)
    checkFence(model, fence)
    const resident = memory.residents.get(model)
    if (resident?.state !== 'ready') return refuse(model, fence, Code.FailedPrecondition, 'the model is not resident')
    if (resident.adapters.has(adapter)) return { tookMs: 0, tier: CheckpointTier.MEMORY }
    if (!fits(memory, order.memoryMb)) {
      return refuse(model, fence, Code.ResourceExhausted, `memory: ${usedMb(memory)} of ${memory.capacityMb} MB are taken, ${order.memoryMb} asked for`)
    }
    setMemory(putResident(memory, putAdapter(resident, adapter, order.memoryMb)))
    await sleep(timers, settings.adapter_load_ms)
    events.emit(StandinEvent.adapterLoaded, { model, adapter, fence, memoryMb: usedMb(memory), memoryCapacityMb: memory.capacityMb })
    return { tookMs: settings.adapter_load_ms, tier: CheckpointTier.MEMORY }
  }

  const unloadAdapter = async (order: AdapterOrder): Promise<OrderOutcome> => {
    const { model, adapter } = order
    checkFence(model, Number(order.fence))
    const resident = memory.residents.get(model)
    if (!resident?.adapters.has(adapter)) return { tookMs: 0, tier: CheckpointTier.UNSPECIFIED }
    setMemory(putResident(memory, dropAdapter(resident, adapter)))
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
