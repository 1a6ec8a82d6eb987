import { Code, ConnectError } from '@connectrpc/connect'
import { ExitCode, sleep } from '@figmount/base'
import { FinishReason } from '@figmount/schema'

import { StandinEvent } from '../events.js'
import { removeModelPrefixes, EMPTY_CACHE, hasPrefix, touchPrefix } from './prefixCache.js'
import { answerLength, tokenAt } from './tokens.js'

import type { GenerateRequest } from '@figmount/schema'
import type { PrefixCache } from './prefixCache.js'
import type { EngineContext, MemoryState } from './types.js'

/** Tokens of one stream from `firstTokenIndex` on. */
export interface TokenChunk {
  readonly firstTokenIndex: number
  readonly tokens: string[]
  readonly last: boolean
  readonly finishReason: FinishReason
  readonly kvUsedMb: number
}

interface Stream {
  readonly request: GenerateRequest
  readonly arrivalIndex: number
  readonly isResumedFromKv: boolean
  readonly tokens: string[]
  readonly waiting: Set<() => void>
  state: 'queued' | 'running' | 'finished' | 'ended'
  finishReason: FinishReason
  endReason: string
}

/** Runs the engine's generations: queue, batch, token streams and KV transfer. */
export interface TokenGenerator {
  readonly start: (request: GenerateRequest) => void
  readonly chunks: (streamId: string, fromTokenIndex: number, signal: AbortSignal) => AsyncGenerator<TokenChunk>
  readonly cancel: (streamId: string) => boolean
  readonly endModelStreams: (model: string) => void
  readonly exportKv: (streamId: string) => { readonly kv: Uint8Array, readonly tokenCount: number }
  readonly importKv: (streamId: string, kv: Uint8Array) => void
  readonly cache: () => PrefixCache
  readonly streamIds: () => readonly string[]
  readonly load: () => { readonly runningCount: number, readonly queuedCount: number, readonly kvUsedMb: number }
  readonly counters: () => { readonly runCounts: Readonly<Record<string, number>>, readonly maxRunningCount: number }
  readonly setTokenInterval: (intervalMs: number) => void
}

/** Maximum number of prompts whose runs are counted; beyond it, the least recently run prompt is removed. */
const MAX_COUNTED_PROMPTS = 50_000

/** Time between the start of a crashing request and the exit of the process, so that the event is written first. */
const CRASH_DELAY_MS = 30

/** Creates the token generator; `memory` returns the resident models and adapters. */
export const createTokenGenerator = (context: EngineContext, memory: () => MemoryState): TokenGenerator => {
  const { settings, timers, events } = context
  const streams = new Map<string, Stream>()
  const imported = new Map<string, Uint8Array>()
  const runCounts = new Map<string, number>()
  let cache = EMPTY_CACHE
  let nextArrivalIndex = 0
  let maxRunningCount = 0
  let tokenIntervalMs = settings.token_interval_ms

  const streamsInState = (state: Stream['state']): readonly Stream[] => [...streams.values()].filter(stream => stream.state === state)

  const kvUsedMb = (): number => {
    const tokenCount = streamsInState('running').reduce((sum, stream) => sum + stream.tokens.length + stream.request.prompt.length / 4, 0)
    return Math.ceil(tokenCount * settings.kv_mb_per_token)
  }

  const notifyReaders = (stream: Stream): void => {
    const readers = [...stream.waiting]
    stream.waiting.clear()
    for (const notify of readers) notify()
  }

  const isRunning = (stream: Stream): boolean => stream.state === 'running'

  const countRun = (prompt: string): number => {
    const count = (runCounts.get(prompt) ?? 0) + 1
    runCounts.delete(prompt)
    runCounts.set(prompt, count)
    if (runCounts.size > MAX_COUNTED_PROMPTS) runCounts.delete(runCounts.keys().next().value ?? '')
    return count
  }

  const crashOnPoison = async (stream: Stream): Promise<void> => {
    events.emit(StandinEvent.poisonRun, { attemptId: stream.request.streamId, model: stream.request.model })
    await sleep(timers, CRASH_DELAY_MS)
    process.exit(ExitCode.Failed)
  }

  const finishStream = (stream: Stream, stops: boolean): void => {
    stream.state = 'finished'
    stream.finishReason = stops ? FinishReason.STOP : FinishReason.LENGTH
    events.emit(StandinEvent.generateFinished, { attemptId: stream.request.streamId, model: stream.request.model, tokenCount: stream.tokens.length })
    scheduleRemoval(stream)
  }

  const scheduleRemoval = (stream: Stream): void => {
    timers.after(settings.stream_keep_ms, () => { streams.delete(stream.request.streamId) })
  }

  const prefill = async (stream: Stream): Promise<void> => {
    const { model, prefixHint } = stream.request
    const isCached = prefixHint !== '' && hasPrefix(cache, model, prefixHint)
    const waitMs = stream.isResumedFromKv ? 0 : isCached ? settings.cached_prefill_ms : settings.prefill_ms
    await sleep(timers, waitMs)
    if (prefixHint !== '') cache = touchPrefix(cache, model, prefixHint, settings.prefix_cache_count, timers.nowMs())
  }

  const runStream = async (stream: Stream): Promise<void> => {
    const { request } = stream
    stream.state = 'running'
    const running = streamsInState('running')
    maxRunningCount = Math.max(maxRunningCount, running.length)
    const runCount = countRun(request.prompt)
    events.emit(StandinEvent.generateStarted, {
      attemptId: request.streamId, model: request.model, version: request.version, adapter: request.adapter, count: runCount, tokenCount: request.doneTokens.length, detail: request.prompt.slice(0, 80)
    })
    if (settings.poison_marker !== '' && request.prompt.includes(settings.poison_marker)) return await crashOnPoison(stream)
    await prefill(stream)
    const { tokenCount, stops } = answerLength(request.prompt, request.maxTokens)
    while (isRunning(stream) && stream.tokens.length < tokenCount) {
      stream.tokens.push(tokenAt(request, stream.tokens.length))
      if (stream.tokens.length === tokenCount) break
      notifyReaders(stream)
      await sleep(timers, tokenIntervalMs)
    }
    if (isRunning(stream)) finishStream(stream, stops)
    notifyReaders(stream)
  }

  const fillBatch = (): void => {
    const freeCount = settings.batch_size - streamsInState('running').length
    const queued = [...streamsInState('queued')].sort((a, b) => b.request.priority - a.request.priority || a.arrivalIndex - b.arrivalIndex)
    for (const stream of queued.slice(0, Math.max(0, freeCount))) {
      if (kvUsedMb() >= settings.kv_capacity_mb) return
      runStream(stream).finally(fillBatch)
    }
  }

  const checkResident = (request: GenerateRequest): void => {
    const resident = memory().residents.get(request.model)
    if (resident?.state !== 'ready') throw new ConnectError('the model is not resident', Code.NotFound)
    if (request.version !== resident.version) throw new ConnectError(`version ${resident.version} is resident`, Code.NotFound)
    if (request.adapter !== '' && !resident.adapters.has(request.adapter)) throw new ConnectError('the adapter is not resident', Code.NotFound)
  }

  const endStream = (stream: Stream, reason: string): void => {
    stream.state = 'ended'
    stream.endReason = reason
    events.emit(StandinEvent.generateEnded, { attemptId: stream.request.streamId, model: stream.request.model, reason })
    scheduleRemoval(stream)
    notifyReaders(stream)
  }

  const getStream = (streamId: string): Stream => {
    const stream = streams.get(streamId)
    if (!stream) throw new ConnectError(`stream ${streamId} is unknown`, Code.NotFound)
    return stream
  }

  const isActive = (stream: Stream): boolean => stream.state === 'queued' || stream.state === 'running'

  const start = (request: GenerateRequest): void => {
    if (request.streamId === '') throw new ConnectError('streamId is missing', Code.InvalidArgument)
    if (streams.has(request.streamId)) throw new ConnectError(`stream ${request.streamId} is known`, Code.AlreadyExists)
    checkResident(request)
    const stream: Stream = {
      request,
      arrivalIndex: nextArrivalIndex++,
      isResumedFromKv: imported.delete(request.streamId),
      tokens: [...request.doneTokens],
      waiting: new Set(),
      state: 'queued',
      finishReason: FinishReason.UNSPECIFIED,
      endReason: ''
    }
    streams.set(request.streamId, stream)
    fillBatch()
  }

  const waitForTokens = async (stream: Stream, signal: AbortSignal): Promise<void> => await new Promise(resolve => {
    stream.waiting.add(resolve)
    signal.addEventListener('abort', () => resolve(), { once: true })
  })

  const chunks = async function * (streamId: string, fromTokenIndex: number, signal: AbortSignal): AsyncGenerator<TokenChunk> {
    const stream = getStream(streamId)
    let index = fromTokenIndex
    while (!signal.aborted) {
      const tokens = stream.tokens.slice(index)
      const last = stream.state === 'finished'
      if (tokens.length > 0 || last) {
        yield { firstTokenIndex: index, tokens, last, finishReason: stream.finishReason, kvUsedMb: kvUsedMb() }
        index += tokens.length
      }
      if (last) return
      if (stream.state === 'ended') throw new ConnectError(`stream ended: ${stream.endReason}`, Code.Aborted)
      if (stream.tokens.length === index) await waitForTokens(stream, signal)
    }
  }

  return {
    start,
    chunks,
    cancel: streamId => {
      const stream = streams.get(streamId)
      if (!stream || !isActive(stream)) return false
      endStream(stream, 'cancelled')
      fillBatch()
      return true
    },
    endModelStreams: model => {
      for (const stream of streams.values()) {
        if (stream.request.model === model && isActive(stream)) endStream(stream, 'model unloaded')
      }
      cache = removeModelPrefixes(cache, model, timers.nowMs())
    },
    exportKv: streamId => {
      const stream = getStream(streamId)
      const { model, version, adapter, prompt } = stream.request
      const kv = Buffer.from(JSON.stringify({ model, version, adapter, prompt, tokens: stream.tokens }))
      return { kv, tokenCount: stream.tokens.length }
    },
    importKv: (streamId, kv) => {
      if (streams.has(streamId)) throw new ConnectError(`stream ${streamId} is known`, Code.AlreadyExists)
      imported.set(streamId, kv)
    },
    cache: () => cache,
    streamIds: () => [...streams.values()].filter(isActive).map(stream => stream.request.streamId),
    load: () => ({ runningCount: streamsInState('running').length, queuedCount: streamsInState('queued').length, kvUsedMb: kvUsedMb() }),
    counters: () => ({ runCounts: Object.fromEntries(runCounts), maxRunningCount }),
    setTokenInterval: intervalMs => { tokenIntervalMs = intervalMs }
  }
}
