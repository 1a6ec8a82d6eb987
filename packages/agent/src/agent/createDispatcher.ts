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

/** The operations that the dispatcher needs from a backend, for an engine or a plain service. */
export interface BackendView {
  readonly isUp: () => boolean
  readonly batchSize: () => number
  /** True when the attempt's model, version and adapter are ready. */
  readonly canStart: (attempt: Pick<Attempt, 'request'>) => boolean
  /** Why the attempt cannot run here under the current configuration and rights; undefined if it can. */
  readonly refusalFor: (attempt: Pick<Attempt, 'request'>) => RefusalNote | undefined
  readonly versionOf: (attempt: Pick<Attempt, 'request'>) => string
  readonly progressOf: (attempt: Attempt) => Progress
  /** Expected time until the attempt's model is ready; 0 if it is ready. */
  readonly readyInMs: (attempt: Pick<Attempt, 'request'>) => number
  /** Called when a run starts and when it ends. `wasIdle` is true if no other run was using the model. */
  readonly onUse: (attempt: Attempt, wasIdle: boolean) => void
  readonly run: RunOnBackend
  /** Called when the fault of a run shows that the backend server ended or is unreachable. */
  readonly onRunFault: (end: Extract<RunEnd, { kind: 'notRun' | 'interrupted' }>) => void
}

interface Options {
  readonly context: AgentContext
  readonly attempts: AttemptStore
  readonly queue: Queue
  readonly backend: BackendView
  readonly estimates: Estimates
  /** The verdict on the request's fingerprint after earlier engine crashes. */
  readonly suspicionOf: (attempt: Attempt) => SuspectVerdict
  /** Called when a request that was accepted turned out not to have run. */
  readonly onNotRun: (attempt: Attempt) => void
  /** Called when a run returned a complete answer. */
  readonly onAnswered: (attempt: Attempt) => void
  /** Plans orders to the engine; called after starting runs, so that the demand is up to date. */
  readonly plan: () => void
}

interface Run {
  readonly attempt: Attempt
  readonly waiting: QueuedAttempt['waiting']
  readonly controller: AbortController
  readonly isSuspect: boolean
  /** Tokens accounted to its caller for fairness when the run started. */
  readonly accountedTokens: number
  /** The refusal to send when the run is cancelled. */
  cancelRefusal: RefusalNote | undefined
}

/** Starts queued attempts when the backend server has capacity, and follows their runs to the end. */
export interface Dispatcher {
  readonly pump: () => void
  /** Schedules a check of the queue for runs to start, in the next turn of the event loop; repeated calls are merged. */
  readonly schedulePump: () => void
  readonly running: () => readonly Attempt[]
  readonly runningCount: () => number
  /** Cancels an attempt that no router is subscribed to any more. */
  readonly cancel: (id: AttemptId) => void
  /** Cancels all queued and running attempts, at the deadline of a stop. */
  readonly cancelAll: () => void
  readonly pace: () => Pace
  readonly sendProgress: () => void
}

/** Refusal of a run that ends before its answer is complete; the run state depends on whether bytes were sent. */
const refusalForRun = (attempt: Attempt, options: Parameters<typeof ran>[0]): RefusalNote =>
  attempt.isSent ? ran(options) : mayHaveRun(options)

/** Creates the dispatcher of one agent. */
export const createDispatcher = (options: Options): Dispatcher => {
  const { context: { timers, events, instance, decisions }, attempts, queue, backend, estimates } = options
  const runs = new Map<AttemptId, Run>()
  let tokenIntervalMs = ASSUMED_TOKEN_INTERVAL_MS
  let hasMeasuredInterval = false
  let isPumpScheduled = false

  const running = (): readonly Attempt[] => [...runs.values()].map(run => run.attempt)

  const updateTokenInterval = (intervalMs: number): void => {
    // The first measurement replaces the assumed interval. If the two are averaged instead, a fast server refuses
    // requests for a minute, until the assumption has lost its weight.
    const weight = hasMeasuredInterval ? INTERVAL_SMOOTHING : 1
    hasMeasuredInterval = true
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

  const stopExpiredRuns = (): void => {
    const nowMs = timers.nowMs()
    for (const run of runs.values()) {
      const { attempt } = run
      if (run.cancelRefusal) continue
      // A non-repeatable request runs on after its deadline: its answer is stored for a resend.
      if (!attempt.request.repeatable) continue
      if (attempt.deadlineAtMs <= nowMs) {
        stopRun(run, refusalForRun(attempt, { reason: RefusalReason.DEADLINE, detail: 'its run did not end before the deadline', step: 'running.deadline', peer: instance }))
      } else if (attempts.orphanedForMs(attempt.id) > ORPHAN_MS) {
        stopRun(run, refusalForRun(attempt, { reason: RefusalReason.STOPPING, detail: 'no router listens any more', step: 'running.orphan', peer: instance, retryAfterMs: 0 }))
      }
    }
  }

  const stopRun = (run: Run, note: RefusalNote): void => {
    run.cancelRefusal = note
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
      attempts.refuse(run.attempt.id, run.cancelRefusal ?? refusalForRun(run.attempt, { reason: RefusalReason.STOPPING, detail: 'cancelled', step: 'running.cancel', peer: instance }))
    })
    .exhaustive()

  const followRun = async (run: Run, version: string): Promise<void> => {
    const { attempt } = run
    const startedMs = timers.nowMs()
    let lastTokenMs = startedMs
    let prefillMs: number | undefined
    const task = backend.run(attempt, version, {
      onSent: () => {
        if (attempt.isSent) return
        attempts.markSent(attempt.id)
        events.emit(AgentEvent.engineRunStarted, { ...attemptFields(attempt), version })
      },
      onTokens: (firstTokenIndex, tokens) => {
        const nowMs = timers.nowMs()
        if (prefillMs !== undefined) updateTokenInterval((nowMs - lastTokenMs) / tokens.length)
        prefillMs ??= nowMs - startedMs
        lastTokenMs = nowMs
        attempts.addTokens(attempt.id, firstTokenIndex, tokens)
      }
    }, run.controller.signal)
    // An unexpected error must still release the batch slot and send a result to the router.
    const end = await task.catch((error: Error): RunEnd =>
      ({ kind: 'interrupted', fault: makeFault(FaultKind.Internal, 'running.follow', instance, error.message), died: false, incarnation: '' }))
    finish(run, end)
    // The time to the first token is recorded in token intervals; the first run's interval is known only after it has ended.
    if (prefillMs !== undefined && hasMeasuredInterval) estimates.notePrefill(prefillMs / tokenIntervalMs)
    runs.delete(attempt.id)
    queue.account(attempt, attempt.tokenCount - attempt.request.doneTokens.length - run.accountedTokens)
    backend.onUse(attempt, false)
    schedulePump()
  }

  const start = ({ attempt, waiting, predictedWaitMs }: QueuedAttempt, isSuspect: boolean): void => {
    queue.remove(attempt.id)
    const accountedTokens = estimates.expectedTokens(attempt.request)
    queue.account(attempt, accountedTokens)
    estimates.noteStart(waiting.expectedTokens)
    estimates.noteWait(predictedWaitMs, timers.nowMs() - attempt.arrivedAtMs)
    const version = backend.versionOf(attempt)
    const run: Run = { attempt, waiting, controller: new AbortController(), isSuspect, accountedTokens, cancelRefusal: undefined }
    const wasIdle = ![...runs.values()].some(other => other.attempt.request.model === attempt.request.model)
    runs.set(attempt.id, run)
    attempts.start(attempt.id, version)
    backend.onUse(attempt, wasIdle)
    events.emit(AgentEvent.attemptStarted, { ...attemptFields(attempt), version, waitMs: Math.round(timers.nowMs() - attempt.arrivedAtMs) })
    if (isSuspect) events.emit(AgentEvent.suspectAlone, attemptFields(attempt))
    attempts.sendProgress(attempt.id, { state: WaitState.RUNNING, estimatedWaitMs: 0 })
    runInBackground(events, 'running.follow', followRun(run, version))
  }

  const hasSuspectRunning = (): boolean => {
    for (const run of runs.values()) {
      if (run.isSuspect) return true
    }
    return false
  }

  /** Refuses attempts that could not finish in time if started now, and returns the remaining ones that can start. */
  const shedLate = (): ReadyRequests => {
    const ready = queue.ready(backend.canStart)
    const shedIds = new Set(decisions.shedWaiting(ready, tokenIntervalMs, timers.nowMs()).map(({ id }) => id))
    for (const id of shedIds) {
      const entry = queue.get(id)
      if (entry) refuseShed(entry.attempt)
    }
    return ready.filter(({ id }) => !shedIds.has(id))
  }

  const refuseShed = (attempt: Attempt): void => {
    estimates.noteRefusal()
    const retryAfterMs = decisions.chooseRetryAfter({
      estimatedWaitMs: 0,
      recentRefusals: estimates.recentRefusals(),
      servedPerSecond: estimates.servedPerSecond(),
      resendCount: attempt.request.resendCount
    }, decisions.random)
    refuseWaiting(attempt, notRun({ reason: RefusalReason.OVERLOADED, detail: 'it can no longer end before its deadline', step: 'queueing.shed', peer: instance, retryAfterMs }))
  }

  /** Attempts that may start now: long ones are left out while running ones fill their share of the batch. */
  const startable = (): ReadyRequests => decisions.limitLong(shedLate(), {
    batchSlots: backend.batchSize(),
    running: [...runs.values()].map(run => run.waiting),
    meanTokens: estimates.meanTokens()
  })

  const startReady = (): void => {
    while (backend.isUp() && runs.size < backend.batchSize() && !hasSuspectRunning()) {
      const next = queue.pick(startable())
      if (!next) return
      // A suspect runs alone. Nothing else is started while it waits for the current runs, or it would wait indefinitely.
      const isSuspect = options.suspicionOf(next.attempt) === 'suspect'
      if (isSuspect && runs.size > 0) return
      start(next, isSuspect)
    }
  }

  const pump = (): void => {
    refuseExpired()
    stopExpiredRuns()
    startReady()
    options.plan()
  }

  const schedulePump = (): void => {
    if (isPumpScheduled) return
    isPumpScheduled = true
    timers.after(0, () => {
      isPumpScheduled = false
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
    schedulePump,
    running,
    runningCount: () => runs.size,
    cancel: id => {
      const attempt = attempts.get(id)
      // The caller of a non-repeatable request resends its key and joins the running attempt.
      if (!attempt?.request.repeatable) return
      events.emit(AgentEvent.attemptCancelled, attemptFields(attempt))
      const run = runs.get(id)
      if (run) stopRun(run, refusalForRun(attempt, { reason: RefusalReason.STOPPING, detail: 'cancelled', step: 'running.cancel', peer: instance, retryAfterMs: 0 }))
      else cancelQueued(id)
      schedulePump()
    },
    cancelAll: () => {
      for (const { attempt } of [...queue.all()]) {
        refuseWaiting(attempt, notRun({ reason: RefusalReason.STOPPING, detail: 'the agent stops', step: 'leaving.deadline', peer: instance }))
      }
      for (const run of runs.values()) {
        stopRun(run, refusalForRun(run.attempt, { reason: RefusalReason.STOPPING, detail: 'the agent stops', step: 'leaving.deadline', peer: instance }))
      }
    },
    pace: () => ({ tokenIntervalMs, batchSize: backend.batchSize() }),
    sendProgress: () => {
      for (const { attempt } of queue.all()) attempts.sendProgress(attempt.id, backend.progressOf(attempt))
    }
  }
}
