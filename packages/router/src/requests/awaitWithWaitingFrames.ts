import { WaitState } from '@figmount/schema'
import { sleep } from '@figmount/base'

import { WAITING_FRAME_MS } from './constants.js'

import type { TimerService } from '@figmount/base'
import type { AnswerPart } from '../answers/types.js'

const QUEUED: AnswerPart = { kind: 'waiting', state: WaitState.QUEUED, estimatedWaitMs: 0 }

/** Awaits `promise` and yields a `waiting` part every second, so that the caller sees that its request is alive. */
export const awaitWithWaitingFrames = async function * <T>(timers: TimerService, promise: Promise<T>): AsyncGenerator<AnswerPart, T> {
  const done = promise.then(value => ({ value }))
  while (true) {
    const settled = await Promise.race([done, sleep(timers, WAITING_FRAME_MS)])
    if (settled) return settled.value
    yield QUEUED
  }
}
