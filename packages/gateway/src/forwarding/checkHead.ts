import { validateHeaderName, validateHeaderValue } from 'node:http'
import { isFinalStatus } from '@figmount/base'

import { MAX_HEADER_LINES } from './constants.js'

/** The head of a server's answer as it was read. */
export interface AnswerHead {
  readonly statusCode?: number | undefined
  /** Names and values alternately. */
  readonly rawHeaders: readonly string[]
}

const isWritable = (name: string, value: string): boolean => {
  try {
    validateHeaderName(name)
    validateHeaderValue(name, value)
    return true
  } catch {
    return false
  }
}

/**
 * Why the head of a server's answer can't be passed on; undefined if it can. The parser takes more than the writer does. A line that the
 * writer refuses is never left out: the caller would get a part of the answer as the whole of it.
 */
export const checkHead = ({ statusCode = 0, rawHeaders }: AnswerHead): string | undefined => {
  if (!isFinalStatus(statusCode)) return `status ${statusCode}`
  if (rawHeaders.length / 2 > MAX_HEADER_LINES) return `over ${MAX_HEADER_LINES} header lines`
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (!isWritable(rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '')) return `header line ${index / 2 + 1} is not valid`
  }
  return undefined
}
