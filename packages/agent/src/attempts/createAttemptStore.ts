import { ONCE_WINDOW_MS } from '@figmount/records'
import { RefusalReason, RunState } from '@figmount/schema'

import { AgentEvent } from '../events.js'
import { FINISHED_KEEP_MS, FRAME_GATHER_MS, FRAME_OVERHEAD_BYTES, FRAME_TOKEN_COUNT } from './constants.js'

import type { AttemptId, EventFields, EventLog, TimerService } from '@figmount/base'
import type { FromAgent, PlainAnswer, RefusalNote, RunRequest } from '@figmount/peers'
import type { FinishReason } from '@figmount/schema'
import type { Attempt, AttemptPhase, Frame, Progress, Subscriber } from './types.js'

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly maxKeptBytes: number
}

/** What names a request that may not be repeated. */
export type KeyOfRequest = Pick<RunRequest, 'caller' | 'requestKey' | 'model' | 'service'>

const keyText = ({ caller, requestKey, model, service }: KeyOfRequest): string => `${service}\n${model}\n${caller}\n${requestKey}`

/** The store's own mutable copy of an attempt. */
interface Entry {
  readonly id: AttemptId
  request: RunRequest
  readonly arrivedAtMs: number
  readonly deadlineAtMs: number
  readonly keepUntilMs: number
  phase: AttemptPhase
  reached: boolean
  tokenCount: number
  refusal?: RefusalNote
  version: string
  startedAtMs: number
  /** Frames from number `firstFrame` on. */
  frames: Frame[]
  firstFrame: number
  gathered: string[]
  keptBytes: number
  listeners: readonly Listener[]
  orphanSinceMs: number
}

/** A router that follows an attempt, under the attempt id that it asked with. */
interface Listener {
  readonly subscriber: Subscriber
  readonly asId: AttemptId
  /** Frames below this have reached the caller. */
  readonly ackedBelow: number
}

/** The attempts of this agent and the frames that it keeps of them. */
export interface AttemptStore {
  readonly add: (id: AttemptId, request: RunRequest) => Attempt
  readonly get: (id: AttemptId) => Attempt | undefined
  readonly all: () => Iterable<Attempt>
  readonly count: () => number
  /** Sends what is kept from `fromFrame` on and all that follows. False when frames below are gone already. */
  readonly subscribe: (id: AttemptId, asId: AttemptId, subscriber: Subscriber, fromFrame: number) => boolean
  readonly unsubscribeAll: (subscriber: Subscriber) => void
  /** Ends one router's interest; true when nobody is left. */
  readonly unsubscribe: (asId: AttemptId, subscriber: Subscriber) => boolean
  readonly resolve: (asId: AttemptId) => AttemptId | undefined
  /** The attempt that runs or ran a key that may not be repeated; none when it turned out not to have run. */
  readonly findByKey: (request: KeyOfRequest) => AttemptId | undefined
  /** Frames are dropped when every listener has them; those of a request that may not be repeated stay for resends of its key. */
  readonly acknowledge: (asId: AttemptId, belowFrame: number, subscriber: Subscriber) => void
  readonly start: (id: AttemptId, version: string) => void
  readonly markReached: (id: AttemptId) => void
  readonly addTokens: (id: AttemptId, firstTokenIndex: number, tokens: readonly string[]) => void
  readonly finish: (id: AttemptId, finishReason: FinishReason, plain?: PlainAnswer) => void
  readonly refuse: (id: AttemptId, refusal: RefusalNote) => void
  readonly tell: (id: AttemptId, progress: Progress) => void
  readonly orphanedForMs: (id: AttemptId) => number
  /** Forgets what is past its time, and the oldest kept answers beyond the bound. */
  readonly sweep: () => void
  /** True when every finished attempt has been acknowledged or nobody listens. */
  readonly isDelivered: () => boolean
  readonly keptBytes: () => number
}

/** Fields that every event about an attempt carries. */
export const attemptFields = (attempt: Pick<Attempt, 'id' | 'request'>): EventFields => ({
  attemptId: attempt.id,
  caller: attempt.request.caller,
  requestKey: attempt.request.requestKey,
  service: attempt.request.service,
  model: attempt.request.model,
  repeatable: attempt.request.repeatable
})

const sizeOf = (frame: Frame): number => {
  let sizeBytes = FRAME_OVERHEAD_BYTES
  if (frame.type === 'final') return sizeBytes + (frame.plain?.body.length ?? 0)
  for (const token of frame.tokens) sizeBytes += token.length
  return sizeBytes
}

/** Makes the attempt store. */
export const createAttemptStore = ({ timers, events, maxKeptBytes }: Options): AttemptStore => {
  const entries = new Map<AttemptId, Entry>()
  const aliases = new Map<AttemptId, AttemptId>()
  const idByKey = new Map<string, AttemptId>()
  const dirty = new Set<Entry>()
  let keptBytes = 0
  let flushTimer: (() => void) | undefined

  const publish = (entry: Entry, message: Exclude<FromAgent, { type: 'welcome' | 'heartbeat.ack' | 'permit.reply' | 'records' | 'records.ask' | 'suspect' | 'leaving' }>): void => {
    for (const { asId, subscriber } of entry.listeners) {
      subscriber.send(asId === entry.id ? message : { ...message, attemptId: asId })
    }
  }

  const keep = (entry: Entry, frame: Frame): void => {
    entry.frames.push(frame)
    const sizeBytes = sizeOf(frame)
    entry.keptBytes += sizeBytes
    keptBytes += sizeBytes
    publish(entry, frame)
  }

  const nextFrame = (entry: Entry): number => entry.firstFrame + entry.frames.length

  const flush = (entry: Entry): void => {
    dirty.delete(entry)
    const tokens = entry.gathered
    if (tokens.length === 0) return
    entry.gathered = []
    keep(entry, { type: 'tokens', attemptId: entry.id, frame: nextFrame(entry), firstTokenIndex: entry.tokenCount - tokens.length, tokens })
  }

  const flushAll = (): void => {
    flushTimer = undefined
    for (const entry of dirty) flush(entry)
  }

  const dropFrames = (entry: Entry, belowFrame: number): void => {
    const count = Math.min(belowFrame - entry.firstFrame, entry.frames.length)
    if (count <= 0) return
    for (const frame of entry.frames.splice(0, count)) {
      const sizeBytes = sizeOf(frame)
      entry.keptBytes -= sizeBytes
      keptBytes -= sizeBytes
    }
    entry.firstFrame += count
  }

  const freeKey = (entry: Entry): void => {
    const key = keyText(entry.request)
    if (idByKey.get(key) === entry.id) idByKey.delete(key)
  }

  /** An ended attempt is kept for its frames only: many large prompts would fill the memory. */
  const dropPrompt = (entry: Entry): void => {
    const { plain: _plain, ...request } = entry.request
    entry.request = { ...request, prompt: '' }
  }

  const forget = (entry: Entry): void => {
    dropFrames(entry, nextFrame(entry))
    dirty.delete(entry)
    entries.delete(entry.id)
    freeKey(entry)
    for (const [asId, id] of aliases) {
      if (id === entry.id) aliases.delete(asId)
    }
  }

  /** Leaves of a kept answer only that it ran, so that a resend hears the truth. */
  const dropAnswer = (entry: Entry): void => {
    dropFrames(entry, nextFrame(entry))
    entry.phase = 'refused'
    entry.refusal = { runState: RunState.RAN, reason: RefusalReason.ANSWER_LOST, retryAfterMs: 0, detail: 'the answer is no longer kept', step: 'attempts.keep', peer: '' }
    events.emit(AgentEvent.answerDropped, attemptFields(entry))
  }

  const isOver = (entry: Entry): boolean => entry.phase === 'finished' || entry.phase === 'refused'

  const open = (id: AttemptId): Entry | undefined => {
    const entry = entries.get(id)
    return entry && !isOver(entry) ? entry : undefined
  }

  const setListeners = (entry: Entry, listeners: readonly Listener[]): void => {
    if (listeners.length === 0 && entry.listeners.length > 0) entry.orphanSinceMs = timers.nowMs()
    entry.listeners = listeners
  }

  const without = (entry: Entry, asId: AttemptId, subscriber: Subscriber): readonly Listener[] =>
    entry.listeners.filter(listener => listener.asId !== asId || listener.subscriber !== subscriber)

  return {
    add: (id, request) => {
      const nowMs = timers.nowMs()
      const deadlineAtMs = nowMs + request.remainingMs
      const onceUntilMs = nowMs + ONCE_WINDOW_MS - (timers.unixMs() - request.issuedAtMs)
      const keepUntilMs = request.repeatable ? deadlineAtMs + FINISHED_KEEP_MS : Math.max(deadlineAtMs, onceUntilMs)
      const entry: Entry = {
        id,
        request,
        arrivedAtMs: nowMs,
        deadlineAtMs,
        keepUntilMs,
        phase: 'waiting',
        reached: false,
        tokenCount: request.doneTokens.length,
        version: '',
        startedAtMs: 0,
        frames: [],
        firstFrame: 0,
        gathered: [],
        keptBytes: 0,
        listeners: [],
        orphanSinceMs: nowMs
      }
      entries.set(id, entry)
      aliases.set(id, id)
      if (!request.repeatable) idByKey.set(keyText(request), id)
      return entry
    },
    get: id => entries.get(id),
    all: () => entries.values(),
    count: () => entries.size,
    resolve: asId => aliases.get(asId),
    findByKey: request => idByKey.get(keyText(request)),
    subscribe: (id, asId, subscriber, fromFrame) => {
      const entry = entries.get(id)
      if (!entry) return false
      if (fromFrame < entry.firstFrame && entry.phase !== 'refused') return false
      flush(entry)
      aliases.set(asId, id)
      setListeners(entry, [...without(entry, asId, subscriber), { asId, subscriber, ackedBelow: fromFrame }])
      for (const frame of entry.frames.slice(fromFrame - entry.firstFrame)) {
        subscriber.send({ ...frame, attemptId: asId })
      }
      if (entry.refusal) subscriber.send({ type: 'refused', attemptId: asId, refusal: entry.refusal })
      return true
    },
    unsubscribeAll: subscriber => {
      for (const entry of entries.values()) {
        setListeners(entry, entry.listeners.filter(listener => listener.subscriber !== subscriber))
      }
    },
    unsubscribe: (asId, subscriber) => {
      const entry = entries.get(aliases.get(asId) ?? asId)
      if (!entry) return false
      setListeners(entry, without(entry, asId, subscriber))
      return entry.listeners.length === 0
    },
    acknowledge: (asId, belowFrame, subscriber) => {
      const entry = entries.get(aliases.get(asId) ?? asId)
      if (!entry) return
      const others = without(entry, asId, subscriber)
      if (others.length === entry.listeners.length) return
      const isComplete = isOver(entry) && belowFrame >= nextFrame(entry)
      setListeners(entry, isComplete ? others : [...others, { asId, subscriber, ackedBelow: belowFrame }])
      if (!entry.request.repeatable) return
      dropFrames(entry, Math.min(belowFrame, ...others.map(({ ackedBelow }) => ackedBelow)))
      if (isComplete && others.length === 0) forget(entry)
    },
    start: (id, version) => {
      const entry = open(id)
      if (!entry) return
      entry.phase = 'running'
      entry.version = version
      entry.startedAtMs = timers.nowMs()
    },
    markReached: id => {
      const entry = entries.get(id)
      if (entry) entry.reached = true
    },
    addTokens: (id, firstTokenIndex, tokens) => {
      const entry = open(id)
      if (!entry) return
      const isFirst = entry.tokenCount === entry.request.doneTokens.length
      for (const token of tokens) entry.gathered.push(token)
      entry.tokenCount = firstTokenIndex + tokens.length
      // The first token goes out at once: callers measure it.
      if (isFirst || entry.gathered.length >= FRAME_TOKEN_COUNT) return flush(entry)
      dirty.add(entry)
      flushTimer ??= timers.after(FRAME_GATHER_MS, flushAll)
    },
    finish: (id, finishReason, plain) => {
      const entry = open(id)
      if (!entry) return
      flush(entry)
      entry.phase = 'finished'
      dropPrompt(entry)
      keep(entry, {
        type: 'final', attemptId: id, frame: nextFrame(entry), tokenCount: entry.tokenCount, finishReason, version: entry.version, ...(plain ? { plain } : {})
      })
      events.emit(AgentEvent.attemptFinished, {
        ...attemptFields(entry), version: entry.version, tokenCount: entry.tokenCount, durationMs: Math.round(timers.nowMs() - entry.startedAtMs)
      })
    },
    refuse: (id, refusal) => {
      const entry = open(id)
      if (!entry) return
      flush(entry)
      entry.phase = 'refused'
      entry.refusal = refusal
      dropPrompt(entry)
      if (refusal.runState === RunState.NOT_RUN) freeKey(entry)
      publish(entry, { type: 'refused', attemptId: id, refusal })
      events.emit(AgentEvent.attemptRefused, {
        ...attemptFields(entry),
        runState: RunState[refusal.runState],
        reason: RefusalReason[refusal.reason],
        detail: refusal.detail,
        step: refusal.step,
        retryAfterMs: refusal.retryAfterMs
      })
    },
    tell: (id, progress) => {
      const entry = open(id)
      if (entry) publish(entry, { type: 'progress', attemptId: id, ...progress })
    },
    orphanedForMs: id => {
      const entry = entries.get(id)
      return entry && entry.listeners.length === 0 ? timers.nowMs() - entry.orphanSinceMs : 0
    },
    sweep: () => {
      const nowMs = timers.nowMs()
      for (const entry of entries.values()) {
        if (isOver(entry) && nowMs >= entry.keepUntilMs) forget(entry)
      }
      if (keptBytes <= maxKeptBytes) return
      for (const entry of entries.values()) {
        if (keptBytes <= maxKeptBytes) break
        if (entry.phase === 'finished') dropAnswer(entry)
      }
    },
    isDelivered: () => {
      for (const entry of entries.values()) {
        if (!isOver(entry)) return false
        if (entry.phase === 'finished' && entry.listeners.length > 0) return false
      }
      return true
    },
    keptBytes: () => keptBytes
  }
}
