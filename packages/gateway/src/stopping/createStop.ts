import { DRAIN_MARGIN_MS, LAME_DUCK_MS, MIN_ANSWER_MS } from './constants.js'
import { createAnswerMeter } from './createAnswerMeter.js'

import type { TimerService, Unsubscribe } from '@figmount/base'
import type { RouterStop } from './types.js'

type Listeners = Set<() => void>

const listen = (listeners: Listeners, listener: () => void): Unsubscribe => {
  listeners.add(listener)
  return () => { listeners.delete(listener) }
}

const callAll = (listeners: Listeners): void => {
  for (const listener of [...listeners]) listener()
}

/** Creates the stop of one router. It may take `stopMs` from the time at which it is requested. */
export const createStop = (timers: TimerService, stopMs: number): RouterStop => {
  const askedListeners: Listeners = new Set()
  const endListeners: Listeners = new Set()
  let askedMs = Infinity
  let isEnded = false

  const closingMs = (): number => askedMs + Math.min(LAME_DUCK_MS, stopMs / 2)
  const endMs = (): number => askedMs + stopMs - DRAIN_MARGIN_MS
  const isAsked = (): boolean => askedMs < Infinity

  return {
    isAsked,
    isClosing: () => timers.nowMs() >= closingMs(),
    isEnded: () => isEnded,
    lastSendMs: (objectiveMs, answerMs = () => 0) => isAsked() ? endMs() - Math.max(MIN_ANSWER_MS, objectiveMs, answerMs()) : Infinity,
    // Guards against a stream that stays incomplete because its server was lost late in the stop. A request that has run cannot be refused
    // any more, so it is retried until the end of the stop: if the retry is cut off there, its caller is no worse off.
    lastRetryMs: endMs,
    answers: createAnswerMeter(),
    onAsked: listener => listen(askedListeners, listener),
    onEnded: listener => listen(endListeners, listener),
    ask: () => {
      if (isAsked()) return
      askedMs = timers.nowMs()
      callAll(askedListeners)
    },
    closingInMs: () => Math.max(0, closingMs() - timers.nowMs()),
    endsInMs: () => Math.max(0, endMs() - timers.nowMs()),
    end: () => {
      isEnded = true
      callAll(endListeners)
    }
  }
}
