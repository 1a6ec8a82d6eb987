import { Code } from '@connectrpc/connect'
import { FaultKind, makeFault, sleep } from '@figmount/base'

import { STREAM_RETRY_MS, STREAM_IDLE_MS } from './constants.js'
import { answeredCode, engineFault, isConnectFailure, neverSent } from './engineFaults.js'

import type { Fault, TimerService } from '@figmount/base'
import type { FinishReason } from '@figmount/schema'
import type { Chunk, EngineClient, GenerateArgs } from './types.js'

/** How a run on the engine ended. */
export type StreamEnd =
  | { readonly kind: 'finished', readonly tokenCount: number, readonly finishReason: FinishReason }
  /** No byte was sent to the engine. */
  | { readonly kind: 'unreached', readonly fault: Fault }
  /** The engine refused the request; nothing ran. */
  | { readonly kind: 'rejected', readonly fault: Fault }
  /** The run was interrupted. `died`: the engine process ended. */
  | { readonly kind: 'interrupted', readonly died: boolean, readonly fault: Fault }
  | { readonly kind: 'cancelled' }

interface Options {
  readonly engine: EngineClient
  readonly timers: TimerService
  readonly args: GenerateArgs
  /** Incarnation of the engine that holds the model. */
  readonly incarnation: string
  /** How long the engine may be unreachable before the run is interrupted. */
  readonly maxUnreachableMs: number
  readonly signal: AbortSignal
  /** Receives new tokens in order, each index once. */
  readonly onTokens: (firstTokenIndex: number, tokens: readonly string[]) => void
  readonly onResume: (fault: Fault) => void
}

type ReadEnd =
  | { readonly kind: 'last', readonly finishReason: FinishReason }
  | { readonly kind: 'broken', readonly thrown: unknown, readonly fault: Fault }

/** Error codes of `generate` after which nothing of the request runs. */
const REJECTION_CODES: ReadonlySet<Code | undefined> = new Set([
  Code.InvalidArgument, Code.NotFound, Code.FailedPrecondition, Code.ResourceExhausted, Code.OutOfRange, Code.Unimplemented,
  Code.PermissionDenied, Code.Unauthenticated
])

/** Error codes that do not determine the state of the stream, after which it is requested again. */
const TRANSIENT_CODES: ReadonlySet<Code | undefined> = new Set([undefined, Code.Unavailable, Code.Unknown, Code.Internal, Code.AlreadyExists])

/** Aborts `controller` when nothing was received for STREAM_IDLE_MS. */
const abortWhenSilent = (timers: TimerService, lastReceivedMs: () => number, controller: AbortController): (() => void) =>
  timers.every(STREAM_IDLE_MS / 4, () => {
    if (timers.nowMs() - lastReceivedMs() >= STREAM_IDLE_MS) controller.abort()
  })

/**
 * Runs one generation to its end, over several connections if necessary.
 *
 * A connection can go silent permanently or break, which shows as no bytes for STREAM_IDLE_MS or as an error. The
 * engine keeps the stream when its connection ends, so the stream is resumed by its id from the next token index.
 * Repeated tokens are dropped by their index, and a gap counts as a break. A second `generate` is sent only to the same
 * incarnation, which refuses an id that it already has.
 */
export const runStream = async ({ engine, timers, args, incarnation, maxUnreachableMs, signal, onTokens, onResume }: Options): Promise<StreamEnd> => {
  let nextIndex = args.doneTokens.length
  let hasReceivedChunk = false
  let failingSinceMs: number | undefined
  let failureCount = 0

  const acceptChunk = (chunk: Chunk): Fault | undefined => {
    hasReceivedChunk = true
    failingSinceMs = undefined
    failureCount = 0
    const skip = nextIndex - chunk.firstTokenIndex
    if (skip < 0) return makeFault(FaultKind.Internal, 'engine.stream', engine.address, `gap before token ${chunk.firstTokenIndex}`)
    const fresh = skip > 0 ? chunk.tokens.slice(skip) : chunk.tokens
    if (fresh.length === 0) return undefined
    onTokens(nextIndex, fresh)
    nextIndex += fresh.length
    return undefined
  }

  // Reads the connection past the last chunk to its end, so that it is returned to the pool.
  const readAll = async (open: (signal: AbortSignal) => AsyncIterable<Chunk>, onEnd: (end: ReadEnd) => void): Promise<void> => {
    const controller = new AbortController()
    const forward = (): void => controller.abort()
    signal.addEventListener('abort', forward, { once: true })
    let lastReceivedMs = timers.nowMs()
    let hasEnded = false
    const stopWatching = abortWhenSilent(timers, () => lastReceivedMs, controller)
    try {
      for await (const chunk of open(controller.signal)) {
        lastReceivedMs = timers.nowMs()
        if (hasEnded) continue
        const gap = acceptChunk(chunk)
        if (gap) return onEnd({ kind: 'broken', thrown: undefined, fault: gap })
        if (!chunk.last) continue
        hasEnded = true
        onEnd({ kind: 'last', finishReason: chunk.finishReason })
      }
      onEnd({ kind: 'broken', thrown: undefined, fault: makeFault(FaultKind.Unavailable, 'engine.stream', engine.address, 'ended without a last chunk') })
    } catch (thrown) {
      onEnd({ kind: 'broken', thrown, fault: engineFault('engine.stream', engine.address)(thrown) })
    } finally {
      stopWatching()
      signal.removeEventListener('abort', forward)
    }
  }

  /** Resolves at the last chunk or at the first error; later events on the connection have no effect. */
  const read = async (open: (signal: AbortSignal) => AsyncIterable<Chunk>): Promise<ReadEnd> =>
    await new Promise((resolve, reject) => { readAll(open, resolve).catch(reject) })

  /** Checks whether the engine is still the incarnation that received the request. */
  const probe = async (): Promise<'same' | 'died' | 'unreachable'> => {
    const answer = await engine.inventory().run()
    return answer.caseOf<'same' | 'died' | 'unreachable'>({
      Left: fault => isConnectFailure(fault) ? 'died' : 'unreachable',
      Right: inventory => inventory.incarnation === incarnation ? 'same' : 'died'
    })
  }

  let isFirstCall = true
  let shouldResume = false
  while (true) {
    if (signal.aborted) return { kind: 'cancelled' }
    const end = await read(shouldResume
      ? own => engine.resume(args.streamId, nextIndex, own)
      : own => engine.generate(args, own))
    if (end.kind === 'last') return { kind: 'finished', tokenCount: nextIndex, finishReason: end.finishReason }
    if (signal.aborted) return { kind: 'cancelled' }
    const { fault } = end
    const code = answeredCode(end.thrown)
    if (isFirstCall && neverSent(end.thrown)) return { kind: 'unreached', fault }
    if (isFirstCall && !hasReceivedChunk && REJECTION_CODES.has(code)) return { kind: 'rejected', fault }
    isFirstCall = false
    const engineStatus = await probe()
    if (engineStatus === 'died') return { kind: 'interrupted', died: true, fault }
    if (engineStatus === 'unreachable') {
      failingSinceMs ??= timers.nowMs()
      if (timers.nowMs() - failingSinceMs > maxUnreachableMs) return { kind: 'interrupted', died: false, fault }
    } else {
      // If the same incarnation does not have the stream, the first call never arrived or the stream was dropped.
      const isLost: boolean = shouldResume && code === Code.NotFound && !hasReceivedChunk
      if (!isLost && !TRANSIENT_CODES.has(code)) return { kind: 'interrupted', died: false, fault }
      shouldResume = !isLost
    }
    if (shouldResume) onResume(fault)
    // The first break is retried at once, so that callers do not notice it; a second consecutive one waits.
    await sleep(timers, failureCount === 0 && shouldResume ? 0 : STREAM_RETRY_MS, signal)
    failureCount += 1
    if (engineStatus === 'unreachable') shouldResume = true
  }
}
