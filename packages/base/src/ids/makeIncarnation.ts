import { randomBytes } from 'node:crypto'

import type { AttemptId, Incarnation, InstanceName, ModelId } from './types.js'

const TIME_DIGITS = 9
const RANDOM_BYTES = 4

/** Creates an incarnation that sorts by start time; random digits distinguish processes started in the same millisecond. */
export const makeIncarnation = (startedAtMs: number): Incarnation => {
  const time = startedAtMs.toString(36).padStart(TIME_DIGITS, '0')
  return `${time}-${randomBytes(RANDOM_BYTES).toString('hex')}` as Incarnation
}

/** Creates an attempt id; `counter` must not repeat within one router incarnation. */
export const makeAttemptId = (router: InstanceName, incarnation: Incarnation, counter: number): AttemptId =>
  `${router}/${incarnation}/${counter}` as AttemptId

/** Joins service and model name to a model id that is unique across services. */
export const makeModelId = (service: string, model: string): ModelId => `${service}/${model}` as ModelId
