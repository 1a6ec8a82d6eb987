import { randomBytes } from 'node:crypto'

import type { AttemptId, Incarnation, InstanceName, ModelId } from './types.js'

const TIME_DIGITS = 9
const RANDOM_BYTES = 4

/** Makes an incarnation from the start time, ordered by it, with random bits against equal clocks. */
export const makeIncarnation = (startedAtMs: number): Incarnation => {
  const time = startedAtMs.toString(36).padStart(TIME_DIGITS, '0')
  return `${time}-${randomBytes(RANDOM_BYTES).toString('hex')}` as Incarnation
}

/** Makes an attempt id; `counter` must not repeat within one router incarnation. */
export const makeAttemptId = (router: InstanceName, incarnation: Incarnation, counter: number): AttemptId =>
  `${router}/${incarnation}/${counter}` as AttemptId

/** Joins a service and a model name to the id that is unique over all services. */
export const makeModelId = (service: string, model: string): ModelId => `${service}/${model}` as ModelId
