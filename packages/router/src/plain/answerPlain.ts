import { RefusalReason } from '@figmount/schema'

import { reasonName, runStateName } from '../requests/refusals.js'
import { HOP_BY_HOP_HEADERS } from './constants.js'

import type { ServerResponse } from 'node:http'
import type { PlainAnswer, RefusalNote } from '@figmount/peers'

const MS_PER_SECOND = 1000
const UNAVAILABLE = 503

const STATUS_BY_REASON: Partial<Record<RefusalReason, number>> = {
  [RefusalReason.INVALID]: 400,
  [RefusalReason.UNAUTHENTICATED]: 401,
  [RefusalReason.UNKNOWN_TARGET]: 404,
  [RefusalReason.QUARANTINED]: 409,
  [RefusalReason.KEY_EXPIRED]: 409,
  [RefusalReason.RATE_LIMITED]: 429,
  [RefusalReason.ANSWER_LOST]: 502,
  [RefusalReason.DEADLINE]: 504
}

/** Returns the HTTP status for a refusal. Every temporary condition without its own status is 503. */
export const statusOf = (reason: RefusalReason): number => STATUS_BY_REASON[reason] ?? UNAVAILABLE

/** Sends a refusal as HTTP status, `retry-after` in whole seconds, and details as JSON. */
export const sendRefusal = (response: ServerResponse, note: RefusalNote): void => {
  const retryAfter = note.retryAfterMs > 0 ? { 'retry-after': String(Math.ceil(note.retryAfterMs / MS_PER_SECOND)) } : {}
  response.writeHead(statusOf(note.reason), { 'content-type': 'application/json', ...retryAfter })
  response.end(`${JSON.stringify({
    runState: runStateName(note.runState),
    reason: reasonName(note.reason),
    retryAfterMs: Math.round(note.retryAfterMs),
    detail: note.detail,
    step: note.step,
    peer: note.peer
  })}\n`)
}

/** Forwards the answer of a plain service without its hop-by-hop headers. */
export const forwardAnswer = (response: ServerResponse, answer: PlainAnswer): void => {
  const headers = answer.headers.filter(([name]) => !HOP_BY_HOP_HEADERS.has(name.toLowerCase()))
  response.writeHead(answer.status, headers.flatMap(([name, value]) => [name, value]))
  response.end(answer.body)
}
