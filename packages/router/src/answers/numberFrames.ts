import { create } from '@bufbuild/protobuf'
import { match } from 'ts-pattern'
import { AnswerFrameSchema, FinalSchema, RefusalSchema, TokensSchema, WaitingSchema } from '@figmount/schema'

import type { RefusalNote } from '@figmount/peers'
import type { AnswerFrame, Final, Refusal } from '@figmount/schema'
import type { AnswerPart, FinalPart } from './types.js'

export const finalMessage = (part: FinalPart, frameCount: number): Final => create(FinalSchema, {
  frameCount,
  tokenCount: part.tokenCount,
  finishReason: part.finishReason,
  version: part.version,
  replayed: part.replayed
})

export const refusalMessage = (note: RefusalNote): Refusal => create(RefusalSchema, {
  ...note,
  retryAfterMs: Math.max(0, Math.round(note.retryAfterMs))
})

const bodyOf = (part: AnswerPart, number: number): AnswerFrame['body'] => match(part)
  .returnType<AnswerFrame['body']>()
  .with({ kind: 'tokens' }, ({ firstTokenIndex, tokens }) =>
    ({ case: 'tokens', value: create(TokensSchema, { firstTokenIndex, tokens: [...tokens] }) }))
  .with({ kind: 'waiting' }, ({ state, estimatedWaitMs }) =>
    ({ case: 'waiting', value: create(WaitingSchema, { state, estimatedWaitMs: Math.round(estimatedWaitMs) }) }))
  .with({ kind: 'final' }, final => ({ case: 'final', value: finalMessage(final, number + 1) }))
  .with({ kind: 'refusal' }, ({ note }) => ({ case: 'refusal', value: refusalMessage(note) }))
  .exhaustive()

/** Numbers the parts of one answer from 0 without gaps, as required by the callers' schema. */
export const numberFrames = async function * (parts: AsyncIterable<AnswerPart>): AsyncGenerator<AnswerFrame> {
  let number = 0
  for await (const part of parts) {
    yield create(AnswerFrameSchema, { number, body: bodyOf(part, number) })
    number += 1
  }
}
