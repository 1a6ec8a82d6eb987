import { match } from 'ts-pattern'

import type { AnswerFrame, Final, Refusal, Waiting } from '@figmount/schema'

/** What has come of one answer so far. */
export interface Gathered {
  readonly frameCount: number
  readonly tokenCount: number
  /** Tokens that the last frame brought; whoever gathers keeps them, so that a frame costs its own size only. */
  readonly fresh: readonly string[]
  readonly waiting: Waiting | undefined
  readonly end: AnswerEnd | undefined
  /** Why the frames are not one whole answer; undefined while they are. */
  readonly mistake: string | undefined
}

export type AnswerEnd =
  | { readonly kind: 'final', readonly final: Final }
  | { readonly kind: 'refusal', readonly refusal: Refusal }

/** Before the first frame. */
export const nothingGathered: Gathered = { frameCount: 0, tokenCount: 0, fresh: [], waiting: undefined, end: undefined, mistake: undefined }

const finalMistake = (gathered: Gathered, final: Final): string | undefined => {
  if (final.frameCount !== gathered.frameCount + 1) return `the last frame counts ${final.frameCount} frames, ${gathered.frameCount + 1} came`
  if (final.tokenCount !== gathered.tokenCount) return `the last frame counts ${final.tokenCount} tokens, ${gathered.tokenCount} came`
  return undefined
}

/**
 * Takes one frame and checks that the answer is whole: frames count from 0 without a gap, token
 * indices follow on each other, and the last frame's counts agree with what came.
 */
export const gatherFrame = (gathered: Gathered, frame: AnswerFrame): Gathered => {
  if (gathered.mistake !== undefined) return gathered
  if (gathered.end) return { ...gathered, mistake: 'a frame came behind the last one' }
  if (frame.number !== gathered.frameCount) return { ...gathered, mistake: `frame ${frame.number} came where ${gathered.frameCount} was due` }
  const next = { ...gathered, frameCount: gathered.frameCount + 1, fresh: [] }
  return match(frame.body)
    .returnType<Gathered>()
    .with({ case: 'tokens' }, ({ value }) => {
      if (value.firstTokenIndex !== gathered.tokenCount) return { ...next, mistake: `token ${value.firstTokenIndex} came where ${gathered.tokenCount} was due` }
      return { ...next, tokenCount: gathered.tokenCount + value.tokens.length, fresh: value.tokens }
    })
    .with({ case: 'waiting' }, ({ value }) => ({ ...next, waiting: value }))
    .with({ case: 'final' }, ({ value }) => ({ ...next, end: { kind: 'final', final: value }, mistake: finalMistake(gathered, value) }))
    .with({ case: 'refusal' }, ({ value }) => ({ ...next, end: { kind: 'refusal', refusal: value } }))
    .with({ case: undefined }, () => ({ ...next, mistake: 'a frame without a body came' }))
    .exhaustive()
}
