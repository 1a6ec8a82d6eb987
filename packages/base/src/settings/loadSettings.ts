import { readFileSync } from 'node:fs'
import { Either, Left, Right } from 'purify-ts'
import { parse } from 'ini'

import type * as z from 'zod'
import type { SettingsFault } from './types.js'

const readText = (file: string): Either<readonly SettingsFault[], string> =>
  Either.encase(() => readFileSync(file, 'utf8'))
    .mapLeft(error => [{ file, section: '', key: '', expected: 'a readable file', found: error.message }])

const valueAt = (data: unknown, path: readonly PropertyKey[]): unknown => {
  let value = data
  for (const step of path) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<PropertyKey, unknown>)[step]
  }
  return value
}

const toSettingsFault = (file: string, data: unknown) => (issue: z.core.$ZodIssue): SettingsFault => {
  const unknownKey = issue.code === 'unrecognized_keys' ? issue.keys.join(', ') : undefined
  const path = issue.path.map(String)
  const found = valueAt(data, issue.path)
  return {
    file,
    section: path[0] ?? '',
    key: unknownKey ?? path.slice(1).join('.'),
    expected: unknownKey ? 'a known key' : issue.message,
    found: unknownKey ? 'an unknown key' : found === undefined ? 'nothing' : JSON.stringify(found)
  }
}

/** Validates INI text against a schema; `file` is only used in error messages. */
export const parseSettings = <T>(schema: z.ZodType<T>, file: string, text: string): Either<readonly SettingsFault[], T> => {
  const data: unknown = { ...parse(text) }
  const result = schema.safeParse(data)
  if (result.success) return Right(result.data)
  return Left(result.error.issues.map(toSettingsFault(file, data)))
}

/** Reads and validates a settings file. Reports all mistakes, not only the first. */
export const loadSettings = <T>(schema: z.ZodType<T>, file: string): Either<readonly SettingsFault[], T> =>
  readText(file).chain(text => parseSettings(schema, file, text))

/** Formats a mistake as one line of text. */
export const describeSettingsFault = (fault: SettingsFault): string =>
  `${fault.file}: [${fault.section}] ${fault.key}: expected ${fault.expected}, found ${fault.found}`
