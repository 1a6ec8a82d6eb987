import { MAX_KEY_AGE_MS } from '@figmount/records'
import { RefusalReason, RunState } from '@figmount/schema'

import { attemptFields } from '../attempts/entry.js'
import { AgentEvent } from '../events.js'
import { mayHaveRun, notRun, quarantined } from './refusals.js'

import type { AttemptId } from '@figmount/base'
import type { Permit, RefusalNote, RunRequest } from '@figmount/peers'
import type { Attempt, AttemptStore, Subscriber } from '../attempts/types.js'
import type { Estimates } from '../queueing/createEstimates.js'
import type { PermitLedger } from '../once/createPermitLedger.js'
import type { Queue } from '../queueing/createQueue.js'
import type { LoadRequests } from '../queueing/createLoadRequests.js'
import type { SuspectTracker } from '../suspects/createSuspectTracker.js'
import type { BackendView, Dispatcher } from './createDispatcher.js'
import type { AgentContext } from './types.js'

interface Options {
  readonly context: AgentContext
  readonly attempts: AttemptStore
  readonly queue: Queue
  readonly permits: PermitLedger
  readonly suspects: SuspectTracker
  readonly dispatcher: Dispatcher
  readonly backend: BackendView
  readonly estimates: Estimates
  readonly loadRequests: LoadRequests
  /** Expected time until a request that arrives now gets a slot in the batch. */
  readonly secondsAhead: (request: RunRequest) => number
  readonly isDraining: () => boolean
  /** True when the agreed state has been read. */
  readonly isReady: () => boolean
  /** True when the agreed state contains this incarnation of the agent, which only then may load. */
  readonly isAnnounced: () => boolean
}

/** A start as sent by a router, with the permit that the router obtained from the holder of the `keys` right, if any. */
export interface Start {
  readonly attemptId: AttemptId
  readonly request: RunRequest
  readonly permit?: Permit
}

const MS_PER_SECOND = 1000

/** Admits or refuses a request that a router sends. */
export type HandleStart = (start: Start, subscriber: Subscriber) => void

/** The target under which a request's key is registered: its model, or its plain service. */
export const targetOf = (request: Pick<RunRequest, 'model' | 'service'>): RunRequest['model'] =>
  request.model as string === '' ? request.service as string as RunRequest['model'] : request.model

/** The admission of one agent. */
export interface Admission {
  readonly start: HandleStart
  /** Why the agreed state as read so far forbids the request here; undefined if it allows it or the agent is draining. */
  readonly refusalByState: (attempt: Pick<Attempt, 'request'>) => RefusalNote | undefined
}

/** Creates the admission of one agent. */
export const createAdmission = (options: Options): Admission => {
  const { context: { timers, events, instance, incarnation, settings, decisions }, attempts, queue, permits, backend, dispatcher, estimates } = options

  const notRunUnlessResent = (request: RunRequest): (details: Parameters<typeof notRun>[0]) => RefusalNote =>
    request.resendCount === 0 ? notRun : mayHaveRun

  /** Refuses while the agent has not read the agreed state, or is not announced and would have to load. */
  const refusalByReadiness = (attempt: Pick<Attempt, 'request'>): RefusalNote | undefined => {
    if (!options.isReady()) return notRun({ reason: RefusalReason.UNAVAILABLE, detail: 'the agent has just started', step: 'agent.start', peer: instance })
    // An agent that restarts during a log outage can't be announced, but may serve the models that its engine holds:
    // they were loaded before the restart, so serving them adds no replica. Otherwise it would serve nothing.
    if (!options.isAnnounced() && !backend.canStart(attempt)) {
      return notRun({ reason: RefusalReason.UNAVAILABLE, detail: 'the agent may not load before the log has named it', step: 'agent.start', peer: instance })
    }
    return undefined
  }

  const refusalByState: Admission['refusalByState'] = attempt =>
    options.isDraining() ? undefined : refusalByReadiness(attempt) ?? backend.refusalFor(attempt)

  /** Why the request cannot be admitted now. It has not run through this agent. */
  const findRefusal = (attempt: Pick<Attempt, 'request'>): RefusalNote | undefined => {
    const { request } = attempt
    const readinessRefusal = refusalByReadiness(attempt)
    if (readinessRefusal) return readinessRefusal
    if (options.isDraining()) return notRun({ reason: RefusalReason.STOPPING, detail: 'the agent is leaving', step: 'leaving.refuse', peer: instance })
    const refusal = backend.refusalFor(attempt)
    if (refusal) return refusal
    if (!backend.isUp()) return notRun({ reason: RefusalReason.UNAVAILABLE, detail: 'the backend server cannot be reached', step: 'engine.reach', peer: instance })
    if (options.suspects.verdictOf(attempt) === 'convicted') return quarantined(instance)
    if (request.remainingMs <= 0) return notRun({ reason: RefusalReason.DEADLINE, detail: 'the deadline has passed', step: 'queueing.admit', peer: instance })
    const pace = dispatcher.pace()
    const verdict = decisions.admit({
      remainingMs: request.remainingMs,
      expectedTokens: estimates.expectedTokens(request),
      boundTokens: estimates.boundTokens(request),
      priority: request.priority,
      readyInMs: backend.readyInMs(attempt),
      secondsAhead: options.secondsAhead(request),
      tokenIntervalMs: pace.tokenIntervalMs,
      queuedCount: queue.count(),
      maxQueuedCount: settings.limits.max_queued,
      waitRatio: estimates.waitRatio().mean,
      waitRatioDeviation: estimates.waitRatio().deviation,
      recentRefusals: estimates.recentRefusals(),
      servedPerSecond: estimates.servedPerSecond(),
      resendCount: request.resendCount
    }, decisions.random)
    if (verdict.kind === 'admit') return undefined
    estimates.noteRefusal()
    if (backend.readyInMs(attempt) > 0) {
      options.loadRequests.add(request)
      dispatcher.schedulePump()
    }
    return notRun({ reason: RefusalReason.OVERLOADED, detail: verdict.detail, step: 'queueing.admit', peer: instance, retryAfterMs: verdict.retryAfterMs })
  }

  const checkPermit = ({ attemptId, request }: Start, permit: Permit): RefusalNote | undefined => {
    const isForThisAgent = permit.executor === instance && (permit.executorIncarnation === incarnation || permit.executorIncarnation as string === '')
    const isForRequest = permit.attemptId === attemptId && permit.caller === request.caller && permit.requestKey === request.requestKey
    if (!isForThisAgent || !isForRequest) {
      return mayHaveRun({ reason: RefusalReason.ANSWER_LOST, detail: 'the permit is for another run', step: 'once.permit', peer: instance, retryAfterMs: 0 })
    }
    // A permit that was in transit for longer than MAX_KEY_AGE_MS may already have been removed from its holder's ledger.
    if (request.issuedAtMs < timers.unixMs() - MAX_KEY_AGE_MS) {
      return notRunUnlessResent(request)({ reason: RefusalReason.KEY_EXPIRED, detail: 'the key is too old', step: 'once.permit', peer: instance, retryAfterMs: 0 })
    }
    return undefined
  }

  /** Requests a permit from this agent's own ledger. Returns the id of the attempt to run, or a refusal. */
  const requestOwnPermit = ({ attemptId, request }: Start): AttemptId | RefusalNote => {
    const reply = permits.ask({ target: targetOf(request), request, attemptId, executor: instance, executorIncarnation: incarnation })
    if (reply.kind === 'granted') return attemptId
    if (reply.kind === 'refused') return reply.refusal
    if (reply.executor === instance) return reply.attemptId
    return mayHaveRun({ reason: RefusalReason.UNAVAILABLE, detail: `the key runs at ${reply.executor}`, step: 'once.permit', peer: reply.executor })
  }

  const enqueue = (attempt: Attempt): void => {
    queue.add(attempt, backend.readyInMs(attempt) + options.secondsAhead(attempt.request) * MS_PER_SECOND)
    events.emit(AgentEvent.attemptQueued, { ...attemptFields(attempt), version: backend.versionOf(attempt), adapter: attempt.request.adapter, count: queue.count() })
    attempts.sendProgress(attempt.id, backend.progressOf(attempt))
    dispatcher.schedulePump()
  }

  const addAttempt = (id: AttemptId, start: Start, subscriber: Subscriber): Attempt => {
    const attempt = attempts.add(id, start.request)
    attempts.subscribe(id, start.attemptId, subscriber, 0)
    return attempt
  }

  /** Returns the attempt id under which a non-repeatable request runs, or why it may not run. */
  const decideOnce = (start: Start): AttemptId | RefusalNote => {
    const { request, permit, attemptId } = start
    const fault = permit && checkPermit(start, permit)
    if (fault) return fault
    const refusal = findRefusal(start)
    if (refusal && !permit && request.resendCount > 0) return { ...refusal, runState: RunState.MAY_HAVE_RUN }
    if (refusal) return refusal
    return permit ? attemptId : requestOwnPermit(start)
  }

  const startOnce = (start: Start, subscriber: Subscriber): void => {
    const decision = decideOnce(start)
    const attempt = addAttempt(typeof decision === 'string' ? decision : start.attemptId, start, subscriber)
    if (typeof decision === 'string') enqueue(attempt)
    else attempts.refuse(attempt.id, decision)
  }

  const handleStart: HandleStart = (start, subscriber) => {
    const known = attempts.resolve(start.attemptId) ?? (start.request.repeatable ? undefined : attempts.findByKey(start.request))
    if (known) {
      const attempt = attempts.get(known)
      if (attempt) events.emit(AgentEvent.attemptJoined, { ...attemptFields(attempt), detail: start.attemptId })
      if (!attempts.subscribe(known, start.attemptId, subscriber, 0)) subscriber.send({ type: 'unknown', attemptId: start.attemptId, incarnation })
      return
    }
    if (!start.request.repeatable) return startOnce(start, subscriber)
    const attempt = addAttempt(start.attemptId, start, subscriber)
    const refusal = findRefusal(attempt)
    if (refusal) attempts.refuse(attempt.id, refusal)
    else enqueue(attempt)
  }
  return { start: handleStart, refusalByState }
}
