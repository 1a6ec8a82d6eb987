import { hash64 } from '@figmount/base'

/** Inputs that determine the tokens of an answer. */
export interface TokenSource {
  readonly model: string
  readonly version: string
  readonly adapter: string
  readonly prompt: string
}

const HASH_DIGITS = 12

/** An answer to a prompt with `length=N` ends after N tokens with finish reason STOP. */
const LENGTH_PATTERN = /\blength=(\d+)/

/** Returns token `index` of the answer. It depends only on `source`, so a caller can compute it and verify an answer. */
export const tokenAt = (source: TokenSource, index: number): string => {
  const key = [source.model, source.version, source.adapter, source.prompt].join('\u0000')
  return `${hash64(key).toString(16).slice(0, HASH_DIGITS)}-${index} `
}

/** Returns the number of tokens of the complete answer; `stops` is false if `maxTokens` cuts it off. */
export const answerLength = (prompt: string, maxTokens: number): { readonly tokenCount: number, readonly stops: boolean } => {
  const requestedCount = Number(LENGTH_PATTERN.exec(prompt)?.[1] ?? Infinity)
  return requestedCount <= maxTokens ? { tokenCount: requestedCount, stops: true } : { tokenCount: maxTokens, stops: false }
}

/** Returns all tokens of the complete answer. */
export const expectedTokens = (source: TokenSource, maxTokens: number): readonly string[] => {
  const { tokenCount } = answerLength(source.prompt, maxTokens)
  return Array.from({ length: tokenCount }, (_, index) => tokenAt(source, index))
}
