import { runInBackground } from '@figmount/base'
import { match } from 'ts-pattern'

import { AgentEvent } from '../events.js'
import { MAX_UNREACHABLE_MS } from '../engine/constants.js'
import { runStream } from '../engine/runStream.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { EngineClient } from '../engine/types.js'
import type { RunEnd, RunOnBackend } from './types.js'

interface Options {
  readonly engine: EngineClient
  readonly timers: TimerService
  readonly events: EventLog
  /** The last observed incarnation of the engine. */
  readonly incarnation: () => string
}

/** Runs attempts on a model engine. The attempt id is also the stream id, so the engine starts an attempt only once. */
export const runOnEngine = ({ engine, timers, events, incarnation }: Options): RunOnBackend => async (attempt, version, hooks, signal) => {
  const { id, request } = attempt
  const startedOn = incarnation()
  const end = await runStream({
    engine,
    timers,
    signal,
    incarnation: startedOn,
    // A non-repeatable request may not be run again, so its answer is awaited until the deadline.
    maxUnreachableMs: request.repeatable ? MAX_UNREACHABLE_MS : Math.max(MAX_UNREACHABLE_MS, attempt.deadlineAtMs - timers.nowMs()),
    args: {
      streamId: id,
      model: request.model,
      version,
      adapter: request.adapter,
      prompt: request.prompt,
      prefixHint: request.prefixHint,
      maxTokens: request.maxTokens,
      priority: request.priority,
      doneTokens: request.doneTokens
    },
    onTokens: (firstTokenIndex, tokens) => {
      hooks.onSent()
      hooks.onTokens(firstTokenIndex, tokens)
    },
    onResume: fault => events.emit(AgentEvent.streamResumed, { attemptId: id, model: request.model, peer: fault.peer, reason: fault.message })
  })
  // Whether a connection was made is only known at the end.
  if (end.kind !== 'unreached' && end.kind !== 'rejected') hooks.onSent()
  return match(end)
    .returnType<RunEnd>()
    .with({ kind: 'finished' }, ({ finishReason }) => ({ kind: 'finished', finishReason }))
    .with({ kind: 'unreached' }, ({ fault }) => ({ kind: 'notRun', fault, isBackendDown: true }))
    .with({ kind: 'rejected' }, ({ fault }) => ({ kind: 'notRun', fault, isBackendDown: false }))
    .with({ kind: 'interrupted' }, ({ fault, died }) => ({ kind: 'interrupted', fault, died, incarnation: startedOn }))
    .with({ kind: 'cancelled' }, () => {
      // The engine keeps a stream when its connection ends, and would go on using the accelerator.
      runInBackground(events, 'engine.cancel', engine.cancel(id).run())
      return { kind: 'cancelled' }
    })
    .exhaustive()
}
