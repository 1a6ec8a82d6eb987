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
  /** No byte left for the engine. */
  | { readonly kind: 'unreached', readonly fault: Fault }
  /** The engine answered that it will not run this; nothing ran. */
  | { readonly kind: 'rejected', readonly fault: Fault }
  /** The run broke off. `died`: the engine process ended. */
  | { readonly kind: 'interrupted', readonly died: boolean, readonly fault: Fault }
  | { readonly kind: 'cancelled' }

interface Options {
  readonly engine: EngineClient
  readonly timers: TimerService
  readonly args: GenerateArgs
  /** The engine's incarnation that holds the model. */
  readonly incarnation: string
  /** Time for which the engine may be out of reach before the run is given up. */
  readonly maxUnreachableMs: number
  readonly signal: AbortSignal
  /** Receives new tokens, in order, each index once. */
  readonly onTokens: (firstTokenIndex: number, tokens: readonly string[]) => void
  readonly onResume: (fault: Fault) => void
}

type ReadEnd =
  | { readonly kind: 'last', readonly finishReason: FinishReason }
  | { readonly kind: 'broken', readonly thrown: unknown, readonly fault: Fault }

/** Answers to `generate` after which nothing of the request runs. */
const REJECTION_CODES: ReadonlySet<Code | undefined> = new Set([
  Code.InvalidArgument, Code.NotFound, Code.FailedPrecondition, Code.ResourceExhausted, Code.OutOfRange, Code.Unimplemented,
  Code.PermissionDenied, Code.Unauthenticated
])

/** Answers that say nothing about the stream, after which it is asked for again. */
const TRANSIENT_CODES: ReadonlySet<Code | undefined> = new Set([undefined, Code.Unavailable, Code.Unknown, Code.Internal, Code.AlreadyExists])

/** Aborts `controller` when nothing was heard for STREAM_SILENCE_MS. */
const abortWhenSilent = (timers: TimerService, lastReceivedMs: () => number, controller: AbortController): (() => void) =>
  timers.every(STREAM_IDLE_MS / 4, () => {
    if (timers.nowMs() - lastReceivedMs() >= STREAM_IDLE_MS) controller.abort()
  })

/**
 * Runs one generation to its end over as many connections as it takes.
 *
 * Guards against a connection that goes silent for good or breaks: it shows as no bytes for
 * STREAM_SILENCE_MS or as an error. The stream outlives its connection at the engine, so it is resumed by its
 * id from the next token index; the index decides, so a repeated token is dropped and a gap is never passed on.
 * A second `generate` is only sent to the same incarnation, which refuses an id that it knows.
 */
export const runStream = async ({ engine, timers, args, incarnation, maxUnreachableMs, signal, onTokens, onResume }: Options): Promise<StreamEnd> => {
  let nextIndex = args.doneTokens.length
  let hasReceivedChunk = false
  let failingSinceMs: number | undefined
  let failureCount = 0

  const take = (chunk: Chunk): Fault | undefined => {
    hasReceivedChunk = true
    failingSinceMs = undefined
    failureCount = 0
    const skip = nextIndex - chunk.firstTokenIndex
    if (skip < 0 && chunk.tokens.length > 0) return makeFault(FaultKind.Internal, 'engine.stream', engine.address, `gap before token ${chunk.firstTokenIndex}`)
    const fresh = skip > 0 ? chunk.tokens.slice(skip) : chunk.tokens
    if (fresh.length === 0) return undefined
    onTokens(nextIndex, fresh)
    nextIndex += fresh.length
    return undefined
  }

  // The connection is read to its end behind the last chunk, so that it goes back to the pool.
  const readAll = async (open: (signal: AbortSignal) => AsyncIterable<Chunk>, onEnd: (end: ReadEnd) => void): Promise<void> => {
    const controller = new AbortController()
    const forward = (): void => controller.abort()
    signal.addEventListener('abort', forward, { once: true })
    let lastReceivedMs = timers.nowMs()
    const stopWatching = abortWhenSilent(timers, () => lastReceivedMs, controller)
    try {
      for await (const chunk of open(controller.signal)) {
        lastReceivedMs = timers.nowMs()
        const gap = take(chunk)
        if (gap) return onEnd({ kind: 'broken', thrown: undefined, fault: gap })
        if (chunk.last) onEnd({ kind: 'last', finishReason: chunk.finishReason })
      }
      onEnd({ kind: 'broken', thrown: undefined, fault: makeFault(FaultKind.Unavailable, 'engine.stream', engine.address, 'ended without a last chunk') })
    } catch (thrown) {
      onEnd({ kind: 'broken', thrown, fault: engineFault('engine.stream', engine.address)(thrown) })
    } finally {
      stopWatching()
      signal.removeEventListener('abort', forward)
    }
  }

  /** Reads one connection up to the last chunk or its break; what comes behind has no effect. */
  const read = async (open: (signal: AbortSignal) => AsyncIterable<Chunk>): Promise<ReadEnd> =>
    await new Promise((resolve, reject) => { readAll(open, resolve).catch(reject) })

  /** Asks whether the engine still is the one that was given the request. */
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
      // The same incarnation that does not know the stream never got the first call, or has forgotten the stream.
      const isLost: boolean = shouldResume && code === Code.NotFound && !hasReceivedChunk
      if (!isLost && !TRANSIENT_CODES.has(code)) return { kind: 'interrupted', died: false, fault }
      shouldResume = !isLost
    }
    if (shouldResume) onResume(fault)
    // The first break is mended at once, so that callers do not notice; a second one in a row is not hurried.
    await sleep(timers, failureCount === 0 && shouldResume ? 0 : STREAM_RETRY_MS, signal)
    failureCount += 1
    if (engineStatus === 'unreachable') shouldResume = true
  }
}
