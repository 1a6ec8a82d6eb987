import { ONCE_WINDOW_MS } from '@figmount/records'
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
import type { Wakes } from '../queueing/createWakes.js'
import type { SuspectBook } from '../suspects/createSuspectBook.js'
import type { BackendView, Dispatcher } from './createDispatcher.js'
import type { AgentContext } from './types.js'

interface Options {
  readonly context: AgentContext
  readonly attempts: AttemptStore
  readonly queue: Queue
  readonly permits: PermitLedger
  readonly suspects: SuspectBook
  readonly dispatcher: Dispatcher
  readonly backend: BackendView
  readonly estimates: Estimates
  readonly wakes: Wakes
  /** Expected time until a request that arrives now gets a place in the batch. */
  readonly secondsAhead: (request: RunRequest) => number
  readonly isDraining: () => boolean
  /** True when the agreed state is known. */
  readonly isReady: () => boolean
  /** True when the agreed state names this run of the agent, which may then load. */
  readonly isAnnounced: () => boolean
}

export interface Start {
  readonly attemptId: AttemptId
  readonly request: RunRequest
  readonly permit?: Permit
}

const MS_PER_SECOND = 1000

/** Takes in what routers ask to start. */
export type HandleStart = (start: Start, subscriber: Subscriber) => void

/** The target that a request's key is decided under: its model, or its plain service. */
export const targetOf = (request: Pick<RunRequest, 'model' | 'service'>): RunRequest['model'] =>
  request.model as string === '' ? request.service as string as RunRequest['model'] : request.model

/** The admission of one agent. */
export interface Admission {
  readonly start: HandleStart
  /** Why the agreed state as read so far lets a request not start here; undefined where it does or the agent leaves. */
  readonly refusalByState: (attempt: Pick<Attempt, 'request'>) => RefusalNote | undefined
}

/** Makes the admission of one agent. */
export const createAdmission = (options: Options): Admission => {
  const { context: { timers, events, instance, incarnation, settings, decisions }, attempts, queue, permits, backend, dispatcher, estimates } = options

  const unlessResent = (request: RunRequest): (details: Parameters<typeof notRun>[0]) => RefusalNote =>
    request.resendCount === 0 ? notRun : mayHaveRun

  /** Why the agent as such may not start it: it does not know yet what it may do. */
  const refusalByStanding = (attempt: Pick<Attempt, 'request'>): RefusalNote | undefined => {
    if (!options.isReady()) return notRun({ reason: RefusalReason.UNAVAILABLE, detail: 'the agent has just started', step: 'agent.start', peer: instance })
    // Guards against an outage of the log in which every restarted agent serves nothing: what its engine
    // holds it held before, so serving it adds no replica.
    if (!options.isAnnounced() && !backend.canStart(attempt)) {
      return notRun({ reason: RefusalReason.UNAVAILABLE, detail: 'the agent may not load before the log has named it', step: 'agent.start', peer: instance })
    }
    return undefined
  }

  const refusalByState: Admission['refusalByState'] = attempt =>
    options.isDraining() ? undefined : refusalByStanding(attempt) ?? backend.refusalFor(attempt)

  /** Why the request cannot be taken here now; nothing of it has run through this agent. */
  const findRefusal = (attempt: Pick<Attempt, 'request'>): RefusalNote | undefined => {
    const { request } = attempt
    const unready = refusalByStanding(attempt)
    if (unready) return unready
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
      options.wakes.note(request)
      dispatcher.poke()
    }
    return notRun({ reason: RefusalReason.OVERLOADED, detail: verdict.detail, step: 'queueing.admit', peer: instance, retryAfterMs: verdict.retryAfterMs })
  }

  const checkPermit = ({ attemptId, request }: Start, permit: Permit): RefusalNote | undefined => {
    const isOwn = permit.executor === instance && (permit.executorIncarnation === incarnation || permit.executorIncarnation as string === '')
    const isForIt = permit.attemptId === attemptId && permit.caller === request.caller && permit.requestKey === request.requestKey
    if (!isOwn || !isForIt) {
      return mayHaveRun({ reason: RefusalReason.ANSWER_LOST, detail: 'the permit is for another run', step: 'once.permit', peer: instance, retryAfterMs: 0 })
    }
    // A permit that was under way for longer than the window may be one that its holder has forgotten.
    if (request.issuedAtMs < timers.unixMs() - ONCE_WINDOW_MS) {
      return unlessResent(request)({ reason: RefusalReason.KEY_EXPIRED, detail: 'the key is too old', step: 'once.permit', peer: instance, retryAfterMs: 0 })
    }
    return undefined
  }

  /** Obtains the word of the own permit ledger; the id is that of the attempt to run. */
  const askOwnLedger = ({ attemptId, request }: Start): AttemptId | RefusalNote => {
    const reply = permits.ask({ target: targetOf(request), request, attemptId, executor: instance, executorIncarnation: incarnation })
    if (reply.kind === 'granted') return attemptId
    if (reply.kind === 'refused') return reply.refusal
    if (reply.executor === instance) return reply.attemptId
    return mayHaveRun({ reason: RefusalReason.UNAVAILABLE, detail: `the key runs at ${reply.executor}`, step: 'once.permit', peer: reply.executor })
  }

  const enqueue = (attempt: Attempt): void => {
    queue.add(attempt, backend.readyInMs(attempt) + options.secondsAhead(attempt.request) * MS_PER_SECOND)
    events.emit(AgentEvent.attemptQueued, { ...attemptFields(attempt), version: backend.versionOf(attempt), adapter: attempt.request.adapter, count: queue.count() })
    attempts.tell(attempt.id, backend.progressOf(attempt))
    dispatcher.poke()
  }

  const take = (id: AttemptId, start: Start, subscriber: Subscriber): Attempt => {
    const attempt = attempts.add(id, start.request)
    attempts.subscribe(id, start.attemptId, subscriber, 0)
    return attempt
  }

  /** The attempt to run a request under that may not be repeated, or why it may not run. */
  const decideOnce = (start: Start): AttemptId | RefusalNote => {
    const { request, permit, attemptId } = start
    const fault = permit && checkPermit(start, permit)
    if (fault) return fault
    const refusal = findRefusal(start)
    if (refusal && !permit && request.resendCount > 0) return { ...refusal, runState: RunState.MAY_HAVE_RUN }
    if (refusal) return refusal
    return permit ? attemptId : askOwnLedger(start)
  }

  const startOnce = (start: Start, subscriber: Subscriber): void => {
    const word = decideOnce(start)
    const attempt = take(typeof word === 'string' ? word : start.attemptId, start, subscriber)
    if (typeof word === 'string') enqueue(attempt)
    else attempts.refuse(attempt.id, word)
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
    const attempt = take(start.attemptId, start, subscriber)
    const refusal = findRefusal(attempt)
    if (refusal) attempts.refuse(attempt.id, refusal)
    else enqueue(attempt)
  }
  return { start: handleStart, refusalByState }
}
