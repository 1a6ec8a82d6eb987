import { Code, ConnectError } from '@connectrpc/connect'
import { makeIncarnation, serveRpc } from '@figmount/base'
import { CheckpointTier, Engine, EngineRole, ResidentState } from '@figmount/schema'
import * as z from 'zod'

import { createFaultInjector, faultCommand } from '../control/createFaultInjector.js'
import { handleControl } from '../control/handleControl.js'
import { StandinEvent } from '../events.js'
import { createTokenGenerator } from './createTokenGenerator.js'
import { createResidency } from './createResidency.js'
import { usedMb } from './memoryState.js'
import { listReportableChanges } from './prefixCache.js'

import type { GenerateRequest, ResumeRequest } from '@figmount/schema'
import type { StartedStandin } from '../control/types.js'
import type { StandinContext } from '../settings/types.js'
import type { TokenChunk } from './createTokenGenerator.js'
import type { EngineSettings } from './settings.js'
import type { ResidentEntry } from './types.js'

const commandSchema = z.discriminatedUnion('action', [
  ...faultCommand.options,
  z.strictObject({ action: z.literal('tokenInterval'), intervalMs: z.number().positive() })
])

const toResidentMessage = (entry: ResidentEntry): object => ({
  model: entry.model,
  version: entry.version,
  fence: BigInt(entry.fence),
  memoryMb: entry.memoryMb,
  state: entry.state === 'ready' ? ResidentState.READY : ResidentState.LOADING,
  adapters: [...entry.adapters].map(([adapter, memoryMb]) => ({ adapter, memoryMb }))
})

const toCheckpointMessages = (names: Iterable<string>, tier: CheckpointTier): object[] =>
  [...names].map(name => {
    const separatorIndex = name.lastIndexOf('@')
    return { model: name.slice(0, separatorIndex), version: name.slice(separatorIndex + 1), tier }
  })

/** Starts the stand-in for a model engine. */
export const startEngine = async (context: StandinContext<EngineSettings>): Promise<StartedStandin> => {
  const { settings, timers, events, metrics } = context
  const faultInjector = createFaultInjector(timers)
  const incarnation = makeIncarnation(timers.unixMs())
  const generator = createTokenGenerator(context, () => residency.memory())
  const residency = createResidency(context, generator.endModelStreams)
  let role: EngineRole = EngineRole.MIXED
  let lastReport = { ...generator.load(), atMs: timers.nowMs() }

  // Injected faults delay an order as a busy engine would; an order whose deadline has passed by then must not start.
  const withOrderDeadline = <Order extends { readonly orderDeadlineMs: number }, Result>(execute: (order: Order) => Promise<Result>) =>
    async (order: Order): Promise<Result> => {
      const receivedMs = timers.nowMs()
      await faultInjector.applyFaults()
      if (order.orderDeadlineMs > 0 && timers.nowMs() - receivedMs > order.orderDeadlineMs) {
        events.emit(StandinEvent.orderRefused, { reason: 'order deadline has passed' })
        throw new ConnectError('order deadline has passed', Code.DeadlineExceeded)
      }
      return await execute(order)
    }

  const generate = async function * (request: GenerateRequest, signal: AbortSignal): AsyncGenerator<TokenChunk> {
    await faultInjector.applyFaults()
    generator.start(request)
    yield * generator.chunks(request.streamId, request.doneTokens.length, signal)
  }

  const resume = async function * (request: ResumeRequest, signal: AbortSignal): AsyncGenerator<TokenChunk> {
    await faultInjector.applyFaults()
    yield * generator.chunks(request.streamId, request.fromTokenIndex, signal)
  }

  const inventory = async (): Promise<object> => {
    await faultInjector.applyFaults()
    const memory = residency.memory()
    const tiers = residency.tiers()
    return {
      incarnation,
      memoryCapacityMb: memory.capacityMb,
      memoryUsedMb: usedMb(memory),
      models: [...memory.residents.values()].map(toResidentMessage),
      checkpoints: [
        ...toCheckpointMessages(tiers.memory.keys(), CheckpointTier.MEMORY),
        ...toCheckpointMessages(tiers.disk.keys(), CheckpointTier.DISK)
      ],
      streamIds: generator.streamIds(),
      enforcesFence: settings.enforces_fence,
      role,
      batchSize: settings.batch_size
    }
  }

  const loadReport = async (): Promise<object> => {
    await faultInjector.applyFaults()
    const nowMs = timers.nowMs()
    if (nowMs - lastReport.atMs >= settings.load_report_lag_ms) lastReport = { ...generator.load(), atMs: nowMs }
    const { runningCount, queuedCount, kvUsedMb, atMs } = lastReport
    return { runningCount, queuedCount, kvUsedMb, kvCapacityMb: settings.kv_capacity_mb, ageMs: Math.round(nowMs - atMs) }
  }

  const run = (input: unknown): unknown => {
    const command = commandSchema.parse(input)
    events.emit(StandinEvent.controlChanged, { detail: JSON.stringify(command) })
    if (command.action === 'tokenInterval') generator.setTokenInterval(command.intervalMs)
    else faultInjector.run(command)
    return {}
  }

  const dump = (): unknown => {
    const memory = residency.memory()
    return {
      gate: faultInjector.state(),
      incarnation,
      usedMb: usedMb(memory),
      capacityMb: memory.capacityMb,
      residents: [...memory.residents.values()].map(({ model, version, fence, state }) => ({ model, version, fence, state })),
      ...residency.counters(),
      ...generator.counters(),
      ...generator.load()
    }
  }

  const server = await serveRpc({
    context,
    host: context.host,
    port: context.port,
    metrics,
    handlePlain: handleControl({ dump, run }),
    routes: router => {
      router.service(Engine, {
        load: withOrderDeadline(residency.load),
        unload: withOrderDeadline(residency.unload),
        loadAdapter: withOrderDeadline(residency.loadAdapter),
        unloadAdapter: withOrderDeadline(residency.unloadAdapter),
        setRole: withOrderDeadline(async order => {
          role = order.role
          return { tookMs: 0, tier: CheckpointTier.UNSPECIFIED }
        }),
        inventory,
        generate: (request, call) => generate(request, call.signal),
        resume: (request, call) => resume(request, call.signal),
        cancel: async request => {
          await faultInjector.applyFaults()
          return { wasRunning: generator.cancel(request.streamId) }
        },
        exportKv: async request => {
          await faultInjector.applyFaults()
          return generator.exportKv(request.streamId)
        },
        importKv: async request => {
          await faultInjector.applyFaults()
          generator.importKv(request.streamId, request.kv)
          return { tookMs: 0, tier: CheckpointTier.UNSPECIFIED }
        },
        cacheEvents: async request => {
          await faultInjector.applyFaults()
          const changes = listReportableChanges(generator.cache(), Number(request.afterSequence), settings.cache_event_delay_ms, settings.cache_event_gap_every, timers.nowMs())
          return { events: changes.map(change => ({ ...change, sequence: BigInt(change.sequence) })) }
        },
        loadReport
      })
    }
  })
  events.emit(StandinEvent.engineStarted, { memoryCapacityMb: settings.memory_capacity_mb, detail: incarnation })
  return { address: server.address, stop: server.close }
}
