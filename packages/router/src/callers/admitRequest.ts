import { Left, Right } from 'purify-ts'
import { hash64, hashKey, makeModelId } from '@figmount/base'
import { findCallerByKey, findModel, findService } from '@figmount/records'
import { RefusalReason } from '@figmount/schema'

import { notRun } from '../requests/refusals.js'
import { UNKNOWN_RETRY_MS } from './constants.js'

import type { Either } from 'purify-ts'
import type { RequestKey, ServiceName } from '@figmount/base'
import type { RefusalNote } from '@figmount/peers'
import type { AgreedState, CallerInForce, ServiceSpec } from '@figmount/records'
import type { InferRequest } from '@figmount/schema'
import type { AdmittedRequest } from '../requests/types.js'
import type { RouterSettings } from '../settings/types.js'

const MAX_KEY_LENGTH = 128
const MAX_NAME_LENGTH = 64
const MAX_HINT_LENGTH = 256
const BEARER = 'Bearer '

export interface AdmitOptions {
  readonly state: AgreedState
  readonly limits: RouterSettings['limits']
  readonly nowMs: number
}

const unknownTarget = (detail: string): RefusalNote =>
  notRun({ reason: RefusalReason.UNKNOWN_TARGET, detail, step: 'callers.resolve', retryAfterMs: UNKNOWN_RETRY_MS })

const invalid = (detail: string): RefusalNote =>
  notRun({ reason: RefusalReason.INVALID, detail, step: 'callers.check' })

/** Finds the caller for the key in the `authorization` header. */
export const authenticateCaller = (state: AgreedState, authorization: string | null): Either<RefusalNote, CallerInForce> => {
  const key = authorization?.startsWith(BEARER) ? authorization.slice(BEARER.length) : ''
  const caller = key === '' ? undefined : findCallerByKey(state, hashKey(key))
  if (caller) return Right(caller)
  return Left(notRun({
    reason: RefusalReason.UNAUTHENTICATED,
    detail: key === '' ? 'no caller key in the authorization header' : 'unknown caller key',
    step: 'callers.authenticate',
    // A caller that was configured through another router may be unknown here for another second.
    retryAfterMs: key === '' ? 0 : UNKNOWN_RETRY_MS
  }))
}

const findValidationError = (request: InferRequest, limits: RouterSettings['limits']): string | undefined => {
  if (request.requestKey === '') return 'request_key is empty'
  if (request.requestKey.length > MAX_KEY_LENGTH) return `request_key is longer than ${MAX_KEY_LENGTH} characters`
  if (request.issuedAtMs <= 0n) return 'issued_at_ms is missing'
  if (request.deadlineMs === 0) return 'deadline_ms is missing'
  if (request.deadlineMs > limits.deadline_ms) return `deadline_ms is above ${limits.deadline_ms}`
  if (request.maxTokens === 0) return 'max_tokens is missing'
  if (request.maxTokens > limits.max_tokens) return `max_tokens is above ${limits.max_tokens}`
  if (Buffer.byteLength(request.prompt) > limits.prompt_bytes) return `prompt is larger than ${limits.prompt_bytes} bytes`
  if (request.prefixHint.length > MAX_HINT_LENGTH) return `prefix_hint is longer than ${MAX_HINT_LENGTH} characters`
  const names = [request.service, request.model, request.adapter, request.version]
  if (names.some(name => name.length > MAX_NAME_LENGTH)) return `a name is longer than ${MAX_NAME_LENGTH} characters`
  return undefined
}

interface Target {
  readonly service: ServiceSpec
  readonly version: string
}

const resolveTarget = (state: AgreedState, request: InferRequest): Either<RefusalNote, Target> => {
  const service = findService(state, request.service as ServiceName)
  if (!service) return Left(unknownTarget(`no service "${request.service}"`))
  const model = findModel(state, makeModelId(request.service, request.model))
  if (!model) return Left(unknownTarget(`service "${request.service}" has no model "${request.model}"`))
  const hasAdapter = request.adapter === '' || model.adapters.some(adapter => adapter.name === request.adapter)
  if (!hasAdapter) return Left(unknownTarget(`model "${request.model}" has no adapter "${request.adapter}"`))
  const version = request.version === '' ? model.currentVersion : request.version
  if (!model.versions.includes(version)) return Left(unknownTarget(`model "${request.model}" has no version "${version}"`))
  return Right({ service, version })
}

/** Hash of a request's content without caller and request key: equal for resends and for the same request of other callers. */
const fingerprintOf = (request: InferRequest, version: string): string =>
  hash64([request.service, request.model, request.adapter, version, request.maxTokens, request.prompt].join('\u0000')).toString(16)

/** Validates the request of an authenticated caller against the limits and the current configuration. */
export const admitRequest = (options: AdmitOptions, caller: CallerInForce, request: InferRequest): Either<RefusalNote, AdmittedRequest> => {
  const error = findValidationError(request, options.limits)
  if (error) return Left(invalid(error))
  return resolveTarget(options.state, request).map(({ service, version }) => ({
    receivedAtMs: options.nowMs,
    deadlineAtMs: options.nowMs + request.deadlineMs,
    run: {
      caller: caller.name,
      tenant: caller.tenant,
      requestKey: request.requestKey as RequestKey,
      issuedAtMs: Number(request.issuedAtMs),
      resendCount: request.resendCount,
      repeatable: request.repeatable,
      model: makeModelId(request.service, request.model),
      service: request.service as ServiceName,
      adapter: request.adapter,
      version,
      prefixHint: request.prefixHint,
      prompt: request.prompt,
      maxTokens: request.maxTokens,
      priority: service.priorities[caller.kind] ?? 0,
      share: caller.share,
      fingerprint: fingerprintOf(request, version)
    }
  }))
}
