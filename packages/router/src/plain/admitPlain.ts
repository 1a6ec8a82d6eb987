import { randomUUID } from 'node:crypto'
import { Left, Right } from 'purify-ts'
import { hash64 } from '@figmount/base'
import { findService } from '@figmount/records'
import { RefusalReason } from '@figmount/schema'

import { UNKNOWN_RETRY_MS } from '../callers/constants.js'
import { notRun } from '../requests/refusals.js'
import { DEFAULT_DEADLINE_MS, HOP_BY_HOP_HEADERS, PLAIN_PREFIX, PlainHeader } from './constants.js'

import type { IncomingHttpHeaders } from 'node:http'
import type { Either } from 'purify-ts'
import type { ModelId, RequestKey, ServiceName } from '@figmount/base'
import type { PlainCall, RefusalNote } from '@figmount/peers'
import type { AgreedState, CallerInForce } from '@figmount/records'
import type { AdmittedRequest } from '../requests/types.js'
import type { RouterSettings } from '../settings/types.js'

/** An incoming HTTP call to a plain service. */
export interface PlainRequest {
  readonly method: string
  readonly url: string
  readonly headers: IncomingHttpHeaders
  readonly body: Uint8Array
}

interface Options {
  readonly state: AgreedState
  readonly limits: RouterSettings['limits']
  readonly nowMs: number
  readonly unixMs: number
}

const MAX_KEY_LENGTH = 128
/** Methods that HTTP defines as safe. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD'])

const headerOf = (headers: IncomingHttpHeaders, name: string): string => {
  const value = headers[name]
  return typeof value === 'string' ? value : ''
}

const numberOf = (headers: IncomingHttpHeaders, name: string, fallback: number): number => {
  const text = headerOf(headers, name)
  return text === '' ? fallback : Number(text)
}

/** Splits a URL into the name of the service and the path forwarded to it. */
export const splitPath = (url: string): { readonly service: string, readonly path: string } => {
  const rest = url.slice(PLAIN_PREFIX.length)
  const slash = rest.search(/[/?]/)
  if (slash < 0) return { service: rest, path: '/' }
  const path = rest.slice(slash)
  return { service: rest.slice(0, slash), path: path.startsWith('/') ? path : `/${path}` }
}

/** True if a call may be repeated, as set by the caller's header or else implied by the method. */
export const isRepeatable = ({ method, headers }: Pick<PlainRequest, 'method' | 'headers'>): boolean => {
  const override = headerOf(headers, PlainHeader.repeatable)
  return override === '' ? SAFE_METHODS.has(method) : override === 'true'
}

const forwardedHeaders = (headers: IncomingHttpHeaders): PlainCall['headers'] =>
  Object.entries(headers).flatMap(([name, value]) => {
    if (HOP_BY_HOP_HEADERS.has(name) || value === undefined) return []
    return [[name, Array.isArray(value) ? value.join(', ') : value] as const]
  })

const findValidationError = (request: PlainRequest, limits: RouterSettings['limits']): string | undefined => {
  const { headers } = request
  const key = headerOf(headers, PlainHeader.requestKey)
  if (key.length > MAX_KEY_LENGTH) return `${PlainHeader.requestKey} is longer than ${MAX_KEY_LENGTH} characters`
  if (request.body.length > limits.prompt_bytes) return `the body is larger than ${limits.prompt_bytes} bytes`
  const deadlineMs = numberOf(headers, PlainHeader.deadlineMs, DEFAULT_DEADLINE_MS)
  if (!Number.isInteger(deadlineMs) || deadlineMs < 1 || deadlineMs > limits.deadline_ms) return `${PlainHeader.deadlineMs} is not from 1 to ${limits.deadline_ms}`
  if (!Number.isInteger(numberOf(headers, PlainHeader.resendCount, 0))) return `${PlainHeader.resendCount} is not a number`
  if (isRepeatable(request)) return undefined
  if (key === '') return `a call that may not be repeated needs ${PlainHeader.requestKey}`
  const issuedAtMs = numberOf(headers, PlainHeader.issuedAtMs, 0)
  if (!Number.isInteger(issuedAtMs) || issuedAtMs < 1) return `a call that may not be repeated needs ${PlainHeader.issuedAtMs}`
  return undefined
}

const fingerprintOf = ({ method, url, body }: PlainRequest): string =>
  hash64([method, url, Buffer.from(body).toString('base64')].join('\u0000')).toString(16)

/** Validates a call to a plain service and converts it to a request. */
export const admitPlain = (options: Options, caller: CallerInForce, request: PlainRequest): Either<RefusalNote, AdmittedRequest> => {
  const { limits, state, nowMs, unixMs } = options
  const { headers } = request
  const error = findValidationError(request, limits)
  if (error) return Left(notRun({ reason: RefusalReason.INVALID, detail: error, step: 'plain.check' }))
  const { service, path } = splitPath(request.url)
  const serviceSpec = findService(state, service as ServiceName)
  if (serviceSpec?.kind !== 'plain') {
    return Left(notRun({ reason: RefusalReason.UNKNOWN_TARGET, detail: `no plain service "${service}"`, step: 'plain.resolve', retryAfterMs: UNKNOWN_RETRY_MS }))
  }
  const requestKey = headerOf(headers, PlainHeader.requestKey) || randomUUID()
  return Right({
    receivedAtMs: nowMs,
    deadlineAtMs: nowMs + numberOf(headers, PlainHeader.deadlineMs, DEFAULT_DEADLINE_MS),
    run: {
      caller: caller.name,
      tenant: caller.tenant,
      requestKey: requestKey as RequestKey,
      issuedAtMs: numberOf(headers, PlainHeader.issuedAtMs, unixMs),
      resendCount: numberOf(headers, PlainHeader.resendCount, 0),
      repeatable: isRepeatable(request),
      // Rights of a plain service use its name in place of a model id.
      model: service as string as ModelId,
      service: service as ServiceName,
      adapter: '',
      version: '',
      prefixHint: '',
      prompt: '',
      maxTokens: 1,
      priority: serviceSpec.priorities[caller.kind] ?? 0,
      share: caller.share,
      fingerprint: fingerprintOf(request),
      plain: { method: request.method, path, headers: forwardedHeaders(headers), body: request.body }
    }
  })
}
