import { match } from 'ts-pattern'

import type { AnswerFrame, Final, Refusal, Waiting } from '@figmount/schema'

/** What has been received of an answer so far. */
export interface AnswerSoFar {
  readonly frameCount: number
  readonly tokenCount: number
  /** Tokens of the last frame only; the receiver collects them, so that adding a frame does not copy earlier tokens. */
  readonly fresh: readonly string[]
  readonly waiting: Waiting | undefined
  readonly end: AnswerEnd | undefined
  /** Why the frames do not form a complete answer; undefined while they do. */
  readonly mistake: string | undefined
}

export type AnswerEnd =
  | { readonly kind: 'final', readonly final: Final }
  | { readonly kind: 'refusal', readonly refusal: Refusal }

/** State before the first frame. */
export const emptyAnswer: AnswerSoFar = { frameCount: 0, tokenCount: 0, fresh: [], waiting: undefined, end: undefined, mistake: undefined }

const findCountMismatch = (answer: AnswerSoFar, final: Final): string | undefined => {
  if (final.frameCount !== answer.frameCount + 1) return `the last frame counts ${final.frameCount} frames, ${answer.frameCount + 1} came`
  if (final.tokenCount !== answer.tokenCount) return `the last frame counts ${final.tokenCount} tokens, ${answer.tokenCount} came`
  return undefined
}

/**
 * Adds a frame and checks it: frame numbers count from 0 without gaps, token indices are consecutive, and the
 * counts in the last frame match what was received.
 */
export const addFrame = (answer: AnswerSoFar, frame: AnswerFrame): AnswerSoFar => {
  if (answer.mistake !== undefined) return answer
  if (answer.end) return { ...answer, mistake: 'a frame came behind the last one' }
  if (frame.number !== answer.frameCount) return { ...answer, mistake: `frame ${frame.number} came where ${answer.frameCount} was due` }
  const next = { ...answer, frameCount: answer.frameCount + 1, fresh: [] }
  return match(frame.body)
    .returnType<AnswerSoFar>()
    .with({ case: 'tokens' }, ({ value }) => {
      if (value.firstTokenIndex !== answer.tokenCount) return { ...next, mistake: `token ${value.firstTokenIndex} came where ${answer.tokenCount} was due` }
      return { ...next, tokenCount: answer.tokenCount + value.tokens.length, fresh: value.tokens }
    })
    .with({ case: 'waiting' }, ({ value }) => ({ ...next, waiting: value }))
    .with({ case: 'final' }, ({ value }) => ({ ...next, end: { kind: 'final', final: value }, mistake: findCountMismatch(answer, value) }))
    .with({ case: 'refusal' }, ({ value }) => ({ ...next, end: { kind: 'refusal', refusal: value } }))
    .with({ case: undefined }, () => ({ ...next, mistake: 'a frame without a body came' }))
    .exhaustive()
}
