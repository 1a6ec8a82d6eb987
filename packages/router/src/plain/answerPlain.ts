import { Framing, framingOf } from '@figmount/base'
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
  const body = Buffer.from(`${JSON.stringify({
    runState: runStateName(note.runState),
    reason: reasonName(note.reason),
    retryAfterMs: Math.round(note.retryAfterMs),
    detail: note.detail,
    step: note.step,
    peer: note.peer
  })}\n`)
  response.writeHead(statusOf(note.reason), { 'content-type': 'application/json', 'content-length': body.length, ...retryAfter })
  response.end(body)
}

const hasNoBody = (response: ServerResponse, statusCode: number): boolean =>
  framingOf({ statusCode, headers: {} }, response.req.method ?? '') === Framing.NoBody

/**
 * Forwards the answer of a plain service without its hop-by-hop headers, and with its length: without one, callers of
 * HTTP/1.0 would take the end of a killed router's connection for the end of the answer.
 */
export const forwardAnswer = (response: ServerResponse, answer: PlainAnswer): void => {
  const headers = answer.headers.filter(([name]) => !HOP_BY_HOP_HEADERS.has(name.toLowerCase()))
  const length = hasNoBody(response, answer.status) ? [] : [['content-length', String(answer.body.length)]]
  response.writeHead(answer.status, [...headers, ...length].flat())
  response.end(answer.body)
}
