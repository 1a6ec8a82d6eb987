import { hash64 } from '@figmount/base'

/** What the tokens of an answer depend on. */
export interface TokenSource {
  readonly model: string
  readonly version: string
  readonly adapter: string
  readonly prompt: string
}

const HASH_DIGITS = 12

/** A prompt with `length=N` ends of itself after N tokens. */
const LENGTH_PATTERN = /\blength=(\d+)/

/** Token `index` of the answer. Anyone can work it out, so a caller can check an answer. */
export const tokenAt = (source: TokenSource, index: number): string => {
  const key = [source.model, source.version, source.adapter, source.prompt].join('\u0000')
  return `${hash64(key).toString(16).slice(0, HASH_DIGITS)}-${index} `
}

/** Number of tokens of the whole answer and whether it ends of itself. */
export const answerLength = (prompt: string, maxTokens: number): { readonly tokenCount: number, readonly stops: boolean } => {
  const asked = Number(LENGTH_PATTERN.exec(prompt)?.[1] ?? Infinity)
  return asked <= maxTokens ? { tokenCount: asked, stops: true } : { tokenCount: maxTokens, stops: false }
}

/** The whole answer. */
export const expectedTokens = (source: TokenSource, maxTokens: number): readonly string[] => {
  const { tokenCount } = answerLength(source.prompt, maxTokens)
  return Array.from({ length: tokenCount }, (_, index) => tokenAt(source, index))
}
