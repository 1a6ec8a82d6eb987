import { FaultKind, makeFault, runInBackground } from '@figmount/base'
import { match } from 'ts-pattern'
import { RefusalReason, WaitState } from '@figmount/schema'

import { attemptFields } from '../attempts/entry.js'
import { ORPHAN_MS } from '../attempts/constants.js'
import { AgentEvent } from '../events.js'
import { ASSUMED_TOKEN_INTERVAL_MS, INTERVAL_SMOOTHING } from '../queueing/constants.js'
import { mayHaveRun, notRun, quarantined, ran, reasonOf } from './refusals.js'

import type { AttemptId } from '@figmount/base'
import type { RefusalNote } from '@figmount/peers'
import type { SuspectVerdict } from '@figmount/records'
import type { Attempt, AttemptStore, Progress } from '../attempts/types.js'
import type { Estimates } from '../queueing/createEstimates.js'
import type { Queue, QueuedAttempt, ReadyRequests } from '../queueing/createQueue.js'
import type { Pace } from '../queueing/workAhead.js'
import type { RunEnd, RunOnBackend } from '../running/types.js'
import type { AgentContext } from './types.js'

/** What the dispatcher asks of the kind of backend server that it serves. */
export interface BackendView {
  readonly isUp: () => boolean
  readonly batchSize: () => number
  /** True when the attempt's model, version and adapter are ready. */
  readonly canStart: (attempt: Pick<Attempt, 'request'>) => boolean
  /** Why the attempt can never start here as things stand; undefined while it can. */
  readonly refusalFor: (attempt: Pick<Attempt, 'request'>) => RefusalNote | undefined
  readonly versionOf: (attempt: Pick<Attempt, 'request'>) => string
  readonly progressOf: (attempt: Attempt) => Progress
  /** Expected time until the attempt's model is ready; 0 when it is. */
  readonly readyInMs: (attempt: Pick<Attempt, 'request'>) => number
  /** Called when a run starts and ends; `wasIdle`: it is the first on its model. */
  readonly onUse: (attempt: Attempt, wasIdle: boolean) => void
  readonly run: RunOnBackend
  /** Called when a run shows that the backend server ended or cannot be reached. */
  readonly onRunFault: (end: Extract<RunEnd, { kind: 'notRun' | 'interrupted' }>) => void
}

interface Options {
  readonly context: AgentContext
  readonly attempts: AttemptStore
  readonly queue: Queue
  readonly backend: BackendView
  readonly estimates: Estimates
  /** How the request stands after earlier deaths of engines. */
  readonly suspicionOf: (attempt: Attempt) => SuspectVerdict
  /** Called when a request that may not be repeated turned out not to have run. */
  readonly onNotRun: (attempt: Attempt) => void
  /** Called when a run brought a whole answer. */
  readonly onAnswered: (attempt: Attempt) => void
  /** Plans orders; called after starts, so that demand is current. */
  readonly plan: () => void
}

interface Run {
  readonly attempt: Attempt
  readonly waiting: QueuedAttempt['waiting']
  readonly controller: AbortController
  readonly isSuspect: boolean
  /** Tokens accounted for fairness when it started. */
  readonly accountedTokens: number
  /** What the attempt is refused with when its run is cancelled. */
  cancelNote: RefusalNote | undefined
}

/** Starts queued attempts as the backend server has room and follows their runs. */
export interface Dispatcher {
  readonly pump: () => void
  /** Asks for a pump soon; many asks make one. */
  readonly poke: () => void
  readonly running: () => readonly Attempt[]
  readonly runningCount: () => number
  /** Ends an attempt that nobody wants any more. */
  readonly cancel: (id: AttemptId) => void
  /** Ends everything that is left, for a stop at its deadline. */
  readonly cancelAll: () => void
  readonly pace: () => Pace
  readonly tellProgress: () => void
}

/** What is true of a run that is ended before its answer is whole. */
const runNote = (attempt: Attempt, options: Parameters<typeof ran>[0]): RefusalNote =>
  attempt.reached ? ran(options) : mayHaveRun(options)

/** Makes the dispatcher of one agent. */
export const createDispatcher = (options: Options): Dispatcher => {
  const { context: { timers, events, instance, decisions }, attempts, queue, backend, estimates } = options
  const runs = new Map<AttemptId, Run>()
  let tokenIntervalMs = ASSUMED_TOKEN_INTERVAL_MS
  let isMeasured = false
  let isPoked = false

  const running = (): readonly Attempt[] => [...runs.values()].map(run => run.attempt)

  const measure = (intervalMs: number): void => {
    // The assumption ends with the first measurement: smoothed out, it has a fast server refuse for a minute.
    const weight = isMeasured ? INTERVAL_SMOOTHING : 1
    isMeasured = true
    tokenIntervalMs += weight * (intervalMs - tokenIntervalMs)
  }

  const refuseWaiting = (attempt: Attempt, refusal: RefusalNote): void => {
    queue.remove(attempt.id)
    attempts.refuse(attempt.id, refusal)
    options.onNotRun(attempt)
  }

  const refuseExpired = (): void => {
    const nowMs = timers.nowMs()
    for (const { attempt } of [...queue.all()]) {
      if (attempt.deadlineAtMs <= nowMs) {
        refuseWaiting(attempt, notRun({ reason: RefusalReason.DEADLINE, detail: 'it waited until its deadline', step: 'queueing.wait', peer: instance }))
        continue
      }
      const refusal = options.suspicionOf(attempt) === 'convicted' ? quarantined(instance) : backend.refusalFor(attempt)
      if (refusal) refuseWaiting(attempt, refusal)
    }
  }

  const stopOverdue = (): void => {
    const nowMs = timers.nowMs()
    for (const run of runs.values()) {
      const { attempt } = run
      if (run.cancelNote) continue
      // A request that may not be repeated runs on: its answer is kept for a resend.
      if (!attempt.request.repeatable) continue
      if (attempt.deadlineAtMs <= nowMs) {
        stopRun(run, runNote(attempt, { reason: RefusalReason.DEADLINE, detail: 'its run did not end before the deadline', step: 'running.deadline', peer: instance }))
      } else if (attempts.orphanedForMs(attempt.id) > ORPHAN_MS) {
        stopRun(run, runNote(attempt, { reason: RefusalReason.STOPPING, detail: 'no router listens any more', step: 'running.orphan', peer: instance, retryAfterMs: 0 }))
      }
    }
  }

  const stopRun = (run: Run, note: RefusalNote): void => {
    run.cancelNote = note
    run.controller.abort()
  }

  const finish = (run: Run, end: RunEnd): void => match(end)
    .with({ kind: 'finished' }, ({ finishReason, plain }) => {
      attempts.finish(run.attempt.id, finishReason, plain)
      estimates.noteAnswer(run.attempt.request, run.attempt.tokenCount)
      options.onAnswered(run.attempt)
    })
    .with({ kind: 'notRun' }, faulty => {
      backend.onRunFault(faulty)
      const { fault } = faulty
      attempts.refuse(run.attempt.id, notRun({ reason: reasonOf(fault), detail: fault.message, step: fault.step, peer: instance }))
      options.onNotRun(run.attempt)
    })
    .with({ kind: 'interrupted' }, faulty => {
      backend.onRunFault(faulty)
      const { fault } = faulty
      events.emit(AgentEvent.attemptInterrupted, { ...attemptFields(run.attempt), tokenCount: run.attempt.tokenCount, step: fault.step, peer: fault.peer, reason: fault.message })
      const reason = run.attempt.request.repeatable ? RefusalReason.UNAVAILABLE : RefusalReason.ANSWER_LOST
      attempts.refuse(run.attempt.id, mayHaveRun({ reason, detail: `interrupted: ${fault.message}`, step: fault.step, peer: instance }))
    })
    .with({ kind: 'cancelled' }, () => {
      attempts.refuse(run.attempt.id, run.cancelNote ?? runNote(run.attempt, { reason: RefusalReason.STOPPING, detail: 'cancelled', step: 'running.cancel', peer: instance }))
    })
    .exhaustive()

  const follow = async (run: Run, version: string): Promise<void> => {
    const { attempt } = run
    const startedMs = timers.nowMs()
    let lastTokenMs = startedMs
    let prefillMs: number | undefined
    const task = backend.run(attempt, version, {
      onReach: () => {
        if (attempt.reached) return
        attempts.markReached(attempt.id)
        events.emit(AgentEvent.engineRunStarted, { ...attemptFields(attempt), version })
      },
      onTokens: (firstTokenIndex, tokens) => {
        const nowMs = timers.nowMs()
        if (prefillMs !== undefined) measure((nowMs - lastTokenMs) / tokens.length)
        prefillMs ??= nowMs - startedMs
        lastTokenMs = nowMs
        attempts.addTokens(attempt.id, firstTokenIndex, tokens)
      }
    }, run.controller.signal)
    // A run that fails in a way nobody thought of must still free its place in the batch and tell its router.
    const end = await task.catch((error: Error): RunEnd =>
      ({ kind: 'interrupted', fault: makeFault(FaultKind.Internal, 'running.follow', instance, error.message), died: false, incarnation: '' }))
    finish(run, end)
    // Only at the end is an interval known to count it in, also of the first run.
    if (prefillMs !== undefined && isMeasured) estimates.notePrefill(prefillMs / tokenIntervalMs)
    runs.delete(attempt.id)
    queue.account(attempt, attempt.tokenCount - attempt.request.doneTokens.length - run.accountedTokens)
    backend.onUse(attempt, false)
    poke()
  }

  const start = ({ attempt, waiting, predictedWaitMs }: QueuedAttempt, isSuspect: boolean): void => {
    queue.remove(attempt.id)
    const accountedTokens = estimates.expectedTokens(attempt.request)
    queue.account(attempt, accountedTokens)
    estimates.noteStart(waiting.expectedTokens)
    estimates.noteWait(predictedWaitMs, timers.nowMs() - attempt.arrivedAtMs)
    const version = backend.versionOf(attempt)
    const run: Run = { attempt, waiting, controller: new AbortController(), isSuspect, accountedTokens, cancelNote: undefined }
    const wasIdle = ![...runs.values()].some(other => other.attempt.request.model === attempt.request.model)
    runs.set(attempt.id, run)
    attempts.start(attempt.id, version)
    backend.onUse(attempt, wasIdle)
    events.emit(AgentEvent.attemptStarted, { ...attemptFields(attempt), version, waitMs: Math.round(timers.nowMs() - attempt.arrivedAtMs) })
    if (isSuspect) events.emit(AgentEvent.suspectAlone, attemptFields(attempt))
    attempts.tell(attempt.id, { state: WaitState.RUNNING, estimatedWaitMs: 0 })
    runInBackground(events, 'running.follow', follow(run, version))
  }

  const hasSuspectRunning = (): boolean => {
    for (const run of runs.values()) {
      if (run.isSuspect) return true
    }
    return false
  }

  /** Refuses those that could not end in time if they started now, and yields the rest of those that can start. */
  const shed = (): ReadyRequests => {
    const ready = queue.ready(backend.canStart)
    const hopeless = new Set(decisions.shedWaiting(ready, tokenIntervalMs, timers.nowMs()).map(({ id }) => id))
    for (const id of hopeless) {
      const entry = queue.get(id)
      if (entry) refuseHopeless(entry.attempt)
    }
    return ready.filter(({ id }) => !hopeless.has(id))
  }

  const refuseHopeless = (attempt: Attempt): void => {
    estimates.noteRefusal()
    const retryAfterMs = decisions.chooseRetryAfter({
      estimatedWaitMs: 0,
      recentRefusals: estimates.recentRefusals(),
      servedPerSecond: estimates.servedPerSecond(),
      resendCount: attempt.request.resendCount
    }, decisions.random)
    refuseWaiting(attempt, notRun({ reason: RefusalReason.OVERLOADED, detail: 'it can no longer end before its deadline', step: 'queueing.shed', peer: instance, retryAfterMs }))
  }

  /** Those that may start now: without the hopeless, and without long ones while these hold their part of the batch. */
  const startable = (): ReadyRequests => decisions.limitLong(shed(), {
    batchSlots: backend.batchSize(),
    running: [...runs.values()].map(run => run.waiting),
    meanTokens: estimates.meanTokens()
  })

  const startReady = (): void => {
    while (backend.isUp() && runs.size < backend.batchSize() && !hasSuspectRunning()) {
      const next = queue.pick(startable())
      if (!next) return
      // A suspect waits for what runs and nothing is started meanwhile, or it would wait for ever.
      const isSuspect = options.suspicionOf(next.attempt) === 'suspect'
      if (isSuspect && runs.size > 0) return
      start(next, isSuspect)
    }
  }

  const pump = (): void => {
    refuseExpired()
    stopOverdue()
    startReady()
    options.plan()
  }

  const poke = (): void => {
    if (isPoked) return
    isPoked = true
    timers.after(0, () => {
      isPoked = false
      pump()
    })
  }

  const cancelQueued = (id: AttemptId): void => {
    const attempt = attempts.get(id)
    if (attempt?.phase !== 'waiting') return
    refuseWaiting(attempt, notRun({ reason: RefusalReason.STOPPING, detail: 'cancelled while it waited', step: 'queueing.cancel', peer: instance, retryAfterMs: 0 }))
  }

  return {
    pump,
    poke,
    running,
    runningCount: () => runs.size,
    cancel: id => {
      const attempt = attempts.get(id)
      // The caller of a request that may not be repeated comes back with its key and joins it.
      if (!attempt?.request.repeatable) return
      events.emit(AgentEvent.attemptCancelled, attemptFields(attempt))
      const run = runs.get(id)
      if (run) stopRun(run, runNote(attempt, { reason: RefusalReason.STOPPING, detail: 'cancelled', step: 'running.cancel', peer: instance, retryAfterMs: 0 }))
      else cancelQueued(id)
      poke()
    },
    cancelAll: () => {
      for (const { attempt } of [...queue.all()]) {
        refuseWaiting(attempt, notRun({ reason: RefusalReason.STOPPING, detail: 'the agent stops', step: 'leaving.deadline', peer: instance }))
      }
      for (const run of runs.values()) {
        stopRun(run, runNote(run.attempt, { reason: RefusalReason.STOPPING, detail: 'the agent stops', step: 'leaving.deadline', peer: instance }))
      }
    },
    pace: () => ({ tokenIntervalMs, batchSize: backend.batchSize() }),
    tellProgress: () => {
      for (const { attempt } of queue.all()) attempts.tell(attempt.id, backend.progressOf(attempt))
    }
  }
}
