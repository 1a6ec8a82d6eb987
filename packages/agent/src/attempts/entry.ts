import { FRAME_OVERHEAD_BYTES } from './constants.js'

import type { AttemptId, EventFields } from '@figmount/base'
import type { RefusalNote, RunRequest } from '@figmount/peers'
import type { Attempt, AttemptPhase, Frame, KeyOfRequest, Subscriber } from './types.js'

/** The store's mutable record of an attempt. */
export interface Entry {
  readonly id: AttemptId
  request: RunRequest
  readonly arrivedAtMs: number
  readonly deadlineAtMs: number
  readonly keepUntilMs: number
  phase: AttemptPhase
  isSent: boolean
  tokenCount: number
  refusal?: RefusalNote
  version: string
  startedAtMs: number
  /** Stored frames; the first one has the number `firstFrame`. */
  frames: Frame[]
  firstFrame: number
  pendingTokens: string[]
  keptBytes: number
  listeners: readonly Listener[]
  /** All attempt ids under which routers have requested this attempt, including its own id. */
  readonly aliasIds: Set<AttemptId>
  orphanedSinceMs: number
}

/** A router subscribed to an attempt, with the attempt id (`asId`) that it uses for it. */
export interface Listener {
  readonly subscriber: Subscriber
  readonly asId: AttemptId
  /** Frames with lower numbers have been acknowledged. */
  readonly ackedBelow: number
}

/** Builds the map key of a request key, unique among all callers and targets. */
export const keyText = ({ caller, requestKey, model, service }: KeyOfRequest): string => `${service}\n${model}\n${caller}\n${requestKey}`

/** Event fields common to all events about an attempt. */
export const attemptFields = (attempt: Pick<Attempt, 'id' | 'request'>): EventFields => ({
  attemptId: attempt.id,
  caller: attempt.request.caller,
  requestKey: attempt.request.requestKey,
  service: attempt.request.service,
  model: attempt.request.model,
  repeatable: attempt.request.repeatable
})

/** Approximate memory of a stored frame. */
export const sizeOf = (frame: Frame): number => {
  let sizeBytes = FRAME_OVERHEAD_BYTES
  if (frame.type === 'final') return sizeBytes + (frame.plain?.body.length ?? 0)
  for (const token of frame.tokens) sizeBytes += token.length
  return sizeBytes
}

/** True when the attempt is finished or refused. */
export const hasEnded = (entry: Pick<Entry, 'phase'>): boolean => entry.phase === 'finished' || entry.phase === 'refused'

/** Number of the next frame. */
export const nextFrame = (entry: Pick<Entry, 'firstFrame' | 'frames'>): number => entry.firstFrame + entry.frames.length

/** All listeners except the given one. */
export const withoutListener = (entry: Pick<Entry, 'listeners'>, asId: AttemptId, subscriber: Subscriber): readonly Listener[] =>
  entry.listeners.filter(listener => listener.asId !== asId || listener.subscriber !== subscriber)
