import { Code, ConnectError } from '@connectrpc/connect'
import { makeIncarnation, serveRpc } from '@figmount/base'
import { CheckpointTier, Engine, EngineRole, ResidentState } from '@figmount/schema'
import * as z from 'zod'

import { createGate, gateCommand } from '../control/createGate.js'
import { handleControl } from '../control/handleControl.js'
import { StandinEvent } from '../events.js'
import { createGenerations } from './createGenerations.js'
import { createResidency } from './createResidency.js'
import { usedMb } from './memoryState.js'
import { tellChanges } from './prefixCache.js'

import type { GenerateRequest, ResumeRequest } from '@figmount/schema'
import type { StartedStandin } from '../control/types.js'
import type { StandinContext } from '../settings/types.js'
import type { TokenChunk } from './createGenerations.js'
import type { EngineSettings } from './settings.js'
import type { ResidentEntry } from './types.js'

const command = z.discriminatedUnion('action', [
  ...gateCommand.options,
  z.strictObject({ action: z.literal('tokenInterval'), intervalMs: z.number().positive() })
])

const residentMessage = (entry: ResidentEntry): object => ({
  model: entry.model,
  version: entry.version,
  fence: BigInt(entry.fence),
  memoryMb: entry.memoryMb,
  state: entry.state === 'ready' ? ResidentState.READY : ResidentState.LOADING,
  adapters: [...entry.adapters].map(([adapter, memoryMb]) => ({ adapter, memoryMb }))
})

const checkpointMessages = (names: Iterable<string>, tier: CheckpointTier): object[] =>
  [...names].map(name => {
    const at = name.lastIndexOf('@')
    return { model: name.slice(0, at), version: name.slice(at + 1), tier }
  })

/** Starts the stand-in for a model engine. */
export const startEngine = async (context: StandinContext<EngineSettings>): Promise<StartedStandin> => {
  const { settings, timers, events, metrics } = context
  const gate = createGate(timers)
  const incarnation = makeIncarnation(timers.unixMs())
  const generations = createGenerations(context, () => residency.memory())
  const residency = createResidency(context, generations.endModel)
  let role: EngineRole = EngineRole.MIXED
  let report = { ...generations.load(), atMs: timers.nowMs() }

  // An order waits here as it would in a busy engine; one that is past its deadline must not start.
  const ordered = <Order extends { readonly orderDeadlineMs: number }, Result>(carryOut: (order: Order) => Promise<Result>) =>
    async (order: Order): Promise<Result> => {
      const receivedMs = timers.nowMs()
      await gate.pass()
      if (order.orderDeadlineMs > 0 && timers.nowMs() - receivedMs > order.orderDeadlineMs) {
        events.emit(StandinEvent.orderRefused, { reason: 'order deadline has passed' })
        throw new ConnectError('order deadline has passed', Code.DeadlineExceeded)
      }
      return await carryOut(order)
    }

  const generate = async function * (request: GenerateRequest, signal: AbortSignal): AsyncGenerator<TokenChunk> {
    await gate.pass()
    generations.start(request)
    yield * generations.chunks(request.streamId, request.doneTokens.length, signal)
  }

  const resume = async function * (request: ResumeRequest, signal: AbortSignal): AsyncGenerator<TokenChunk> {
    await gate.pass()
    yield * generations.chunks(request.streamId, request.fromTokenIndex, signal)
  }

  const inventory = async (): Promise<object> => {
    await gate.pass()
    const memory = residency.memory()
    const tiers = residency.tiers()
    return {
      incarnation,
      memoryCapacityMb: memory.capacityMb,
      memoryUsedMb: usedMb(memory),
      models: [...memory.residents.values()].map(residentMessage),
      checkpoints: [
        ...checkpointMessages(tiers.memory.keys(), CheckpointTier.MEMORY),
        ...checkpointMessages(tiers.disk.keys(), CheckpointTier.DISK)
      ],
      streamIds: generations.streamIds(),
      enforcesFence: settings.enforces_fence,
      role,
      batchSize: settings.batch_size
    }
  }

  const loadReport = async (): Promise<object> => {
    await gate.pass()
    const nowMs = timers.nowMs()
    if (nowMs - report.atMs >= settings.load_report_lag_ms) report = { ...generations.load(), atMs: nowMs }
    const { runningCount, queuedCount, kvUsedMb, atMs } = report
    return { runningCount, queuedCount, kvUsedMb, kvCapacityMb: settings.kv_capacity_mb, ageMs: Math.round(nowMs - atMs) }
  }

  const run = (given: unknown): unknown => {
    const asked = command.parse(given)
    events.emit(StandinEvent.controlChanged, { detail: JSON.stringify(asked) })
    if (asked.action === 'tokenInterval') generations.setTokenInterval(asked.intervalMs)
    else gate.run(asked)
    return {}
  }

  const dump = (): unknown => {
    const memory = residency.memory()
    return {
      gate: gate.state(),
      incarnation,
      usedMb: usedMb(memory),
      capacityMb: memory.capacityMb,
      residents: [...memory.residents.values()].map(({ model, version, fence, state }) => ({ model, version, fence, state })),
      ...residency.counters(),
      ...generations.counters(),
      ...generations.load()
    }
  }

  const server = await serveRpc({
    host: context.host,
    port: context.port,
    metrics,
    handlePlain: handleControl({ dump, run }),
    routes: router => {
      router.service(Engine, {
        load: ordered(residency.load),
        unload: ordered(residency.unload),
        loadAdapter: ordered(residency.loadAdapter),
        unloadAdapter: ordered(residency.unloadAdapter),
        setRole: ordered(async order => {
          role = order.role
          return { tookMs: 0, tier: CheckpointTier.UNSPECIFIED }
        }),
        inventory,
        generate: (request, call) => generate(request, call.signal),
        resume: (request, call) => resume(request, call.signal),
        cancel: async request => {
          await gate.pass()
          return { wasRunning: generations.cancel(request.streamId) }
        },
        exportKv: async request => {
          await gate.pass()
          return generations.exportKv(request.streamId)
        },
        importKv: async request => {
          await gate.pass()
          generations.importKv(request.streamId, request.kv)
          return { tookMs: 0, tier: CheckpointTier.UNSPECIFIED }
        },
        cacheEvents: async request => {
          await gate.pass()
          const changes = tellChanges(generations.cache(), Number(request.afterSequence), settings.cache_event_delay_ms, settings.cache_event_gap_every, timers.nowMs())
          return { events: changes.map(change => ({ ...change, sequence: BigInt(change.sequence) })) }
        },
        loadReport
      })
    }
  })
  events.emit(StandinEvent.engineStarted, { memoryCapacityMb: settings.memory_capacity_mb, detail: incarnation })
  return { address: server.address, stop: server.close }
}
