import { Either, Left, Right } from 'purify-ts'

import { callerSpec, serviceSpec } from './types.js'

import type * as z from 'zod'
import type { CallerSpec, ItemName, ServiceSpec } from './types.js'

/** Largest body of one item in UTF-16 units; enough for some 1,200 models with 10,000 adapters in one service. */
export const MAX_BODY_LENGTH = 1024 * 1024

const ITEM_NAME = /^(service|caller)\/[a-z0-9][a-z0-9._-]{0,63}$/

/** Whether a text is a valid name of a configuration item. */
export const isItemName = (text: string): text is ItemName => ITEM_NAME.test(text)

const describeIssue = (issue: z.core.$ZodIssue): string =>
  `${issue.path.map(String).join('.') || 'body'}: ${issue.message}`

const validate = <T>(schema: z.ZodType<T>, body: unknown): Either<string, T> => {
  const result = schema.safeParse(body)
  if (result.success) return Right(result.data)
  return Left(result.error.issues.slice(0, 5).map(describeIssue).join('; '))
}

const parseJson = (text: string): Either<string, unknown> => {
  if (text.length > MAX_BODY_LENGTH) return Left(`body: longer than ${MAX_BODY_LENGTH} characters`)
  return Either.encase(() => JSON.parse(text) as unknown).mapLeft(error => `body: ${error.message}`)
}

/** Parses and validates the body of a `service/` item; the Left names each invalid field. */
export const parseServiceBody = (bodyJson: string): Either<string, ServiceSpec> =>
  parseJson(bodyJson).chain(body => validate(serviceSpec, body))

/** Parses and validates the body of a `caller/` item; the Left names each invalid field. */
export const parseCallerBody = (bodyJson: string): Either<string, CallerSpec> =>
  parseJson(bodyJson).chain(body => validate(callerSpec, body))

/** Validates a body by its item's kind, with the same rules as the fold. */
export const checkBody = (item: ItemName, bodyJson: string): Either<string, ServiceSpec | CallerSpec> =>
  item.startsWith('service/') ? parseServiceBody(bodyJson) : parseCallerBody(bodyJson)
