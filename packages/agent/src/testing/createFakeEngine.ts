/** An in-memory engine for tests with injectable faults. */
import { Code, ConnectError } from '@connectrpc/connect'
import { EitherAsync } from 'purify-ts'
import { sleep } from '@figmount/base'
import { FinishReason } from '@figmount/schema'

import { engineFault } from '../engine/engineFaults.js'

import type { ModelId, TimerService } from '@figmount/base'
import type { Chunk, EngineClient, EngineOrder, GenerateArgs, Inventory, OrderDone, Resident } from '../engine/types.js'

/** The result of an order. `lose`: carried out but never answered. `late`: the same after LATE_MS. `drop`: never arrives. */
export type OrderFate = 'answer' | 'lose' | 'late' | 'drop' | 'exhausted' | 'stale'

/** Delay of a late order; less than its deadline. */
const LATE_MS = 1_500

/** Settings and faults of the fake engine; tests change them at any time. */
export interface EngineKnobs {
  loadMs: number
  tokenIntervalMs: number
  batchSize: number
  capacityMb: number
  isDown: boolean
  /** Stops all data on the connections that are open now, without closing them. */
  silenceOpen: () => void
  /** Restarts the process with nothing loaded. */
  restart: () => void
  fateOf: (order: EngineOrder) => OrderFate
  /** Number of tokens that a resume repeats. */
  repeatOnResume: number
  /** Restarts the process when a prompt that contains this text begins to run. */
  poison: string
}

export interface FakeEngine extends EngineClient {
  readonly knobs: EngineKnobs
  readonly orders: readonly EngineOrder[]
  /** Highest memory in use so far. */
  readonly peakMb: () => number
  readonly residents: () => readonly Resident[]
  /** Prompts of the runs in order of start. */
  readonly runs: readonly string[]
  readonly peakRunning: () => number
  readonly cancelled: readonly string[]
}

interface Stream {
  readonly args: GenerateArgs
  readonly incarnation: number
  tokens: string[]
  isOver: boolean
  isCancelled: boolean
}

const refused = (): ConnectError => {
  const cause = Object.assign(new Error('connect ECONNREFUSED 127.0.0.1:1'), { code: 'ECONNREFUSED' })
  return new ConnectError(cause.message, Code.Unavailable, undefined, undefined, cause)
}

const broken = (): ConnectError => {
  const cause = Object.assign(new Error('socket hang up'), { code: 'ECONNRESET' })
  return new ConnectError(cause.message, Code.Aborted, undefined, undefined, cause)
}

const never = async (signal: AbortSignal): Promise<never> => await new Promise((_resolve, reject) => {
  const fail = (): void => reject(new ConnectError('aborted', Code.Canceled))
  if (signal.aborted) fail()
  signal.addEventListener('abort', fail, { once: true })
})

/** The token that the fake generates for a prompt at an index. */
export const tokenOf = (prompt: string, index: number): string => `${prompt}.${index}`

/** Creates an in-memory engine. */
export const createFakeEngine = (timers: TimerService): FakeEngine => {
  let process = 1
  let connectionEra = 0
  let peakMb = 0
  let peakRunning = 0
  const orders: EngineOrder[] = []
  const runs: string[] = []
  const cancelled: string[] = []
  const residents = new Map<ModelId, Resident>()
  const streams = new Map<string, Stream>()

  const usedMb = (): number => [...residents.values()]
    .reduce((sum, resident) => sum + resident.memoryMb + resident.adapters.reduce((mb, adapter) => mb + adapter.memoryMb, 0), 0)

  const put = (resident: Resident): void => {
    residents.set(resident.model, resident)
    peakMb = Math.max(peakMb, usedMb())
  }

  const restart = (): void => {
    process += 1
    residents.clear()
    streams.clear()
  }

  const knobs: EngineKnobs = {
    loadMs: 100,
    tokenIntervalMs: 10,
    batchSize: 4,
    capacityMb: 1000,
    isDown: false,
    silenceOpen: () => { connectionEra += 1 },
    restart,
    fateOf: () => 'answer',
    repeatOnResume: 0,
    poison: ''
  }

  const carryOut = async (order: EngineOrder): Promise<OrderDone> => {
    const initialProcess = process
    const resident = residents.get(order.model)
    if (order.kind === 'load') {
      if (resident && resident.version !== order.version) throw new ConnectError('another version is resident', Code.FailedPrecondition)
      if (usedMb() + order.memoryMb > knobs.capacityMb) throw new ConnectError('out of memory', Code.ResourceExhausted)
      const { model, version, fence, memoryMb } = order
      put({ model, version, fence, memoryMb, state: 'loading', adapters: [] })
      await sleep(timers, knobs.loadMs)
      const current = residents.get(order.model)
      if (initialProcess === process && current) put({ ...current, state: 'ready' })
    } else if (order.kind === 'unload') {
      await sleep(timers, 10)
      if (initialProcess === process) residents.delete(order.model)
    } else if (order.kind === 'loadAdapter') {
      if (resident?.state !== 'ready') throw new ConnectError('the model is not resident', Code.FailedPrecondition)
      const { adapter, memoryMb } = order
      put({ ...resident, adapters: [...resident.adapters, { adapter, memoryMb }] })
    } else if (resident) {
      put({ ...resident, adapters: resident.adapters.filter(({ adapter }) => adapter !== order.adapter) })
    }
    return { tookMs: 1 }
  }

  const order = async (asked: EngineOrder, signal: AbortSignal): Promise<OrderDone> => {
    if (knobs.isDown) throw refused()
    orders.push(asked)
    const fate = knobs.fateOf(asked)
    if (fate === 'exhausted') throw new ConnectError('the weight store is full', Code.ResourceExhausted)
    if (fate === 'stale') throw new ConnectError('old fence', Code.FailedPrecondition)
    if (fate === 'drop') return await never(signal)
    if (fate === 'late') timers.after(LATE_MS, () => { carryOut(asked).catch(() => {}) })
    if (fate === 'late') return await never(signal)
    const done = carryOut(asked)
    if (fate === 'answer') return await done
    done.catch(() => {})
    return await never(signal)
  }

  /** Fails the call when the process ends. */
  const orderUntilEnd = async (asked: EngineOrder, signal: AbortSignal): Promise<OrderDone> => {
    const initialProcess = process
    const call = order(asked, signal)
    call.catch(() => {})
    const isAlive = (): boolean => initialProcess === process && !knobs.isDown
    while (isAlive()) {
      const ended = await Promise.race([call.then(() => true, () => true), sleep(timers, 10).then(() => false)])
      if (ended) return await call
    }
    throw broken()
  }

  const inventory = async (): Promise<Inventory> => {
    if (knobs.isDown) throw refused()
    return {
      incarnation: `e${process}`,
      memoryCapacityMb: knobs.capacityMb,
      memoryUsedMb: usedMb(),
      batchSize: knobs.batchSize,
      enforcesFence: true,
      residents: [...residents.values()],
      checkpoints: []
    }
  }

  const produce = async (stream: Stream): Promise<void> => {
    const { prompt, maxTokens } = stream.args
    runs.push(prompt)
    const running = [...streams.values()].filter(({ isOver }) => !isOver).length
    peakRunning = Math.max(peakRunning, running)
    if (knobs.poison !== '' && prompt.includes(knobs.poison)) {
      await sleep(timers, 5)
      return restart()
    }
    while (stream.tokens.length < maxTokens && stream.incarnation === process && !stream.isCancelled) {
      await sleep(timers, knobs.tokenIntervalMs)
      stream.tokens.push(tokenOf(prompt, stream.tokens.length))
    }
    stream.isOver = true
  }

  const read = async function * (streamId: string, from: number, signal: AbortSignal): AsyncGenerator<Chunk> {
    const era = connectionEra
    let index = from
    while (true) {
      if (signal.aborted) throw new ConnectError('aborted', Code.Canceled)
      if (knobs.isDown) throw broken()
      if (era !== connectionEra) return await never(signal)
      const stream = streams.get(streamId)
      if (!stream || stream.incarnation !== process) throw broken()
      if (stream.isCancelled) throw new ConnectError('cancelled', Code.Aborted)
      const tokens = stream.tokens.slice(index)
      const last = stream.isOver && stream.tokens.length === stream.args.maxTokens
      if (tokens.length > 0 || last) yield { firstTokenIndex: index, tokens, last, finishReason: FinishReason.LENGTH, kvUsedMb: 0 }
      if (last) return
      index += tokens.length
      await sleep(timers, 1)
    }
  }

  const generate = async function * (args: GenerateArgs, signal: AbortSignal): AsyncGenerator<Chunk> {
    if (knobs.isDown) throw refused()
    if (streams.has(args.streamId)) throw new ConnectError('known', Code.AlreadyExists)
    const resident = residents.get(args.model)
    if (resident?.state !== 'ready' || resident.version !== args.version) throw new ConnectError('not resident', Code.FailedPrecondition)
    const stream: Stream = { args, incarnation: process, tokens: [...args.doneTokens], isOver: false, isCancelled: false }
    streams.set(args.streamId, stream)
    produce(stream).catch(() => {})
    yield * read(args.streamId, args.doneTokens.length, signal)
  }

  const resume = async function * (streamId: string, from: number, signal: AbortSignal): AsyncGenerator<Chunk> {
    if (knobs.isDown) throw refused()
    if (!streams.has(streamId)) throw new ConnectError('unknown stream', Code.NotFound)
    yield * read(streamId, Math.max(0, from - knobs.repeatOnResume), signal)
  }

  const asFault = engineFault('engine.fake', 'engine')
  return {
    address: 'engine',
    knobs,
    orders,
    runs,
    cancelled,
    peakMb: () => peakMb,
    peakRunning: () => peakRunning,
    residents: () => [...residents.values()],
    order: (asked, signal) => EitherAsync(async () => await orderUntilEnd(asked, signal)).mapLeft(asFault),
    inventory: () => EitherAsync(inventory).mapLeft(asFault),
    generate,
    resume,
    cancel: streamId => EitherAsync(async () => {
      cancelled.push(streamId)
      const stream = streams.get(streamId)
      if (stream) stream.isCancelled = true
      return stream !== undefined
    }).mapLeft(asFault)
  }
}
