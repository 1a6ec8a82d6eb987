import { FRAME_OVERHEAD_BYTES } from './constants.js'

import type { AttemptId, EventFields } from '@figmount/base'
import type { RefusalNote, RunRequest } from '@figmount/peers'
import type { Attempt, AttemptPhase, Frame, KeyOfRequest, Subscriber } from './types.js'

/** The store's own mutable copy of an attempt. */
export interface Entry {
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
  /** Ids that routers have asked for it with, its own included. */
  readonly askedAs: Set<AttemptId>
  orphanSinceMs: number
}

/** A router that follows an attempt, under the attempt id that it asked with. */
export interface Listener {
  readonly subscriber: Subscriber
  readonly asId: AttemptId
  /** Frames below this have reached the caller. */
  readonly ackedBelow: number
}

/** Names a key among all callers and targets. */
export const keyText = ({ caller, requestKey, model, service }: KeyOfRequest): string => `${service}\n${model}\n${caller}\n${requestKey}`

/** Fields that every event about an attempt carries. */
export const attemptFields = (attempt: Pick<Attempt, 'id' | 'request'>): EventFields => ({
  attemptId: attempt.id,
  caller: attempt.request.caller,
  requestKey: attempt.request.requestKey,
  service: attempt.request.service,
  model: attempt.request.model,
  repeatable: attempt.request.repeatable
})

/** Memory that a kept frame takes, roughly. */
export const sizeOf = (frame: Frame): number => {
  let sizeBytes = FRAME_OVERHEAD_BYTES
  if (frame.type === 'final') return sizeBytes + (frame.plain?.body.length ?? 0)
  for (const token of frame.tokens) sizeBytes += token.length
  return sizeBytes
}

/** True when nothing more will come of an attempt. */
export const isOver = (entry: Pick<Entry, 'phase'>): boolean => entry.phase === 'finished' || entry.phase === 'refused'

/** Number of the frame that comes next. */
export const nextFrame = (entry: Pick<Entry, 'firstFrame' | 'frames'>): number => entry.firstFrame + entry.frames.length

/** The listeners but for one. */
export const withoutListener = (entry: Pick<Entry, 'listeners'>, asId: AttemptId, subscriber: Subscriber): readonly Listener[] =>
  entry.listeners.filter(listener => listener.asId !== asId || listener.subscriber !== subscriber)
