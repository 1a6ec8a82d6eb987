import { MAX_KEY_AGE_MS } from '@figmount/records'
import { RefusalReason, RunState } from '@figmount/schema'

import { AgentEvent } from '../events.js'
import { FINISHED_KEEP_MS, FRAME_GATHER_MS, FRAME_TOKEN_COUNT } from './constants.js'
import { attemptFields, hasEnded, keyText, nextFrame, sizeOf, withoutListener } from './entry.js'

import type { AttemptId, EventLog, TimerService } from '@figmount/base'
import type { Entry, Listener } from './entry.js'
import type { AttemptMessage, AttemptStore, Frame } from './types.js'

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly maxKeptBytes: number
}

/** Creates the attempt store. */
export const createAttemptStore = ({ timers, events, maxKeptBytes }: Options): AttemptStore => {
  const entries = new Map<AttemptId, Entry>()
  const aliases = new Map<AttemptId, AttemptId>()
  const idByKey = new Map<string, AttemptId>()
  const unflushed = new Set<Entry>()
  let keptBytes = 0
  let flushTimer: (() => void) | undefined

  const publish = (entry: Entry, message: AttemptMessage): void => {
    for (const { asId, subscriber } of entry.listeners) {
      subscriber.send(asId === entry.id ? message : { ...message, attemptId: asId })
    }
  }

  const appendFrame = (entry: Entry, frame: Frame): void => {
    entry.frames.push(frame)
    const sizeBytes = sizeOf(frame)
    entry.keptBytes += sizeBytes
    keptBytes += sizeBytes
    publish(entry, frame)
  }

  const flush = (entry: Entry): void => {
    unflushed.delete(entry)
    const tokens = entry.pendingTokens
    if (tokens.length === 0) return
    entry.pendingTokens = []
    appendFrame(entry, { type: 'tokens', attemptId: entry.id, frame: nextFrame(entry), firstTokenIndex: entry.tokenCount - tokens.length, tokens })
  }

  const flushAll = (): void => {
    flushTimer = undefined
    for (const entry of unflushed) flush(entry)
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

  const releaseKey = (entry: Entry): void => {
    const key = keyText(entry.request)
    if (idByKey.get(key) === entry.id) idByKey.delete(key)
  }

  /** Clears the prompt of an ended attempt, which is stored only for its frames: many large prompts would fill the memory. */
  const dropPrompt = (entry: Entry): void => {
    const { plain: _plain, ...request } = entry.request
    entry.request = { ...request, prompt: '' }
  }

  const forget = (entry: Entry): void => {
    dropFrames(entry, nextFrame(entry))
    unflushed.delete(entry)
    entries.delete(entry.id)
    releaseKey(entry)
    for (const asId of entry.aliasIds) aliases.delete(asId)
  }

  /** Drops a stored answer but remembers that the request ran, so that a resend is refused with the correct run state. */
  const dropAnswer = (entry: Entry): void => {
    dropFrames(entry, nextFrame(entry))
    entry.phase = 'refused'
    entry.refusal = { runState: RunState.RAN, reason: RefusalReason.ANSWER_LOST, retryAfterMs: 0, detail: 'the answer is no longer kept', step: 'attempts.keep', peer: '' }
    events.emit(AgentEvent.answerDropped, attemptFields(entry))
  }

  const findOpen = (id: AttemptId): Entry | undefined => {
    const entry = entries.get(id)
    return entry && !hasEnded(entry) ? entry : undefined
  }

  const setListeners = (entry: Entry, listeners: readonly Listener[]): void => {
    if (listeners.length === 0 && entry.listeners.length > 0) entry.orphanedSinceMs = timers.nowMs()
    entry.listeners = listeners
  }

  return {
    add: (id, request) => {
      const nowMs = timers.nowMs()
      const deadlineAtMs = nowMs + request.remainingMs
      const onceUntilMs = nowMs + MAX_KEY_AGE_MS - (timers.unixMs() - request.issuedAtMs)
      const keepUntilMs = request.repeatable ? deadlineAtMs + FINISHED_KEEP_MS : Math.max(deadlineAtMs, onceUntilMs)
      const entry: Entry = {
        id,
        request,
        arrivedAtMs: nowMs,
        deadlineAtMs,
        keepUntilMs,
        phase: 'waiting',
        isSent: false,
        tokenCount: request.doneTokens.length,
        version: '',
        startedAtMs: 0,
        frames: [],
        firstFrame: 0,
        pendingTokens: [],
        keptBytes: 0,
        listeners: [],
        aliasIds: new Set([id]),
        orphanedSinceMs: nowMs
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
      entry.aliasIds.add(asId)
      setListeners(entry, [...withoutListener(entry, asId, subscriber), { asId, subscriber, ackedBelow: fromFrame }])
      for (const frame of entry.frames.slice(fromFrame - entry.firstFrame)) {
        subscriber.send({ ...frame, attemptId: asId })
      }
      if (entry.refusal) subscriber.send({ type: 'refused', attemptId: asId, refusal: entry.refusal })
      return true
    },
    unsubscribeAll: subscriber => {
      for (const entry of entries.values()) {
        if (entry.listeners.length === 0) continue
        setListeners(entry, entry.listeners.filter(listener => listener.subscriber !== subscriber))
      }
    },
    unsubscribe: (asId, subscriber) => {
      const entry = entries.get(aliases.get(asId) ?? asId)
      if (!entry) return false
      setListeners(entry, withoutListener(entry, asId, subscriber))
      return entry.listeners.length === 0
    },
    acknowledge: (asId, belowFrame, subscriber) => {
      const entry = entries.get(aliases.get(asId) ?? asId)
      if (!entry) return
      const others = withoutListener(entry, asId, subscriber)
      if (others.length === entry.listeners.length) return
      const isComplete = hasEnded(entry) && belowFrame >= nextFrame(entry)
      setListeners(entry, isComplete ? others : [...others, { asId, subscriber, ackedBelow: belowFrame }])
      if (!entry.request.repeatable) return
      dropFrames(entry, Math.min(belowFrame, ...others.map(({ ackedBelow }) => ackedBelow)))
      if (isComplete && others.length === 0) forget(entry)
    },
    start: (id, version) => {
      const entry = findOpen(id)
      if (!entry) return
      entry.phase = 'running'
      entry.version = version
      entry.startedAtMs = timers.nowMs()
    },
    markSent: id => {
      const entry = entries.get(id)
      if (entry) entry.isSent = true
    },
    addTokens: (id, firstTokenIndex, tokens) => {
      const entry = findOpen(id)
      if (!entry) return
      const isFirst = entry.tokenCount === entry.request.doneTokens.length
      for (const token of tokens) entry.pendingTokens.push(token)
      entry.tokenCount = firstTokenIndex + tokens.length
      // The first token is sent at once, because callers measure the time to the first token.
      if (isFirst || entry.pendingTokens.length >= FRAME_TOKEN_COUNT) return flush(entry)
      unflushed.add(entry)
      flushTimer ??= timers.after(FRAME_GATHER_MS, flushAll)
    },
    finish: (id, finishReason, plain) => {
      const entry = findOpen(id)
      if (!entry) return
      flush(entry)
      entry.phase = 'finished'
      dropPrompt(entry)
      appendFrame(entry, {
        type: 'final', attemptId: id, frame: nextFrame(entry), tokenCount: entry.tokenCount, finishReason, version: entry.version, ...(plain ? { plain } : {})
      })
      events.emit(AgentEvent.attemptFinished, {
        ...attemptFields(entry), version: entry.version, tokenCount: entry.tokenCount, durationMs: Math.round(timers.nowMs() - entry.startedAtMs)
      })
    },
    refuse: (id, refusal) => {
      const entry = findOpen(id)
      if (!entry) return
      flush(entry)
      entry.phase = 'refused'
      entry.refusal = refusal
      dropPrompt(entry)
      if (refusal.runState === RunState.NOT_RUN) releaseKey(entry)
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
    sendProgress: (id, progress) => {
      const entry = findOpen(id)
      if (entry) publish(entry, { type: 'progress', attemptId: id, ...progress })
    },
    orphanedForMs: id => {
      const entry = entries.get(id)
      return entry && entry.listeners.length === 0 ? timers.nowMs() - entry.orphanedSinceMs : 0
    },
    sweep: () => {
      const nowMs = timers.nowMs()
      for (const entry of entries.values()) {
        if (hasEnded(entry) && nowMs >= entry.keepUntilMs) forget(entry)
      }
      if (keptBytes <= maxKeptBytes) return
      for (const entry of entries.values()) {
        if (keptBytes <= maxKeptBytes) break
        if (entry.phase === 'finished') dropAnswer(entry)
      }
    },
    isDelivered: () => {
      for (const entry of entries.values()) {
        if (!hasEnded(entry)) return false
        if (entry.phase === 'finished' && entry.listeners.length > 0) return false
      }
      return true
    },
    keptBytes: () => keptBytes
  }
}
