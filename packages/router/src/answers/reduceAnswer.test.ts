import { expect } from 'chai'
import fc from 'fast-check'

import { beginAnswer, reduceAnswer } from './reduceAnswer.js'

import type { AttemptId } from '@figmount/base'
import type { AnswerFrameMessage } from './reduceAnswer.js'

const ATTEMPT = 'r/1/1' as AttemptId
const SEED = 20_261_202

const frameOf = (frame: number, firstTokenIndex: number, count: number): AnswerFrameMessage => ({
  type: 'tokens', attemptId: ATTEMPT, frame, firstTokenIndex, tokens: Array.from({ length: count }, (_, index) => `t${firstTokenIndex + index}`)
})

/** Creates the frames of an answer. Each frame has `count` new tokens after the last `repeats` tokens of the previous frames. */
const framesOf = (sizes: readonly (readonly [count: number, repeats: number])[]): readonly AnswerFrameMessage[] => {
  const frames: AnswerFrameMessage[] = []
  let sent = 0
  for (const [count, repeats] of sizes) {
    const first = Math.max(0, sent - repeats)
    frames.push(frameOf(frames.length, first, sent - first + count))
    sent += count
  }
  return frames
}

const sizes = fc.array(fc.tuple(fc.nat({ max: 4 }), fc.nat({ max: 2 })), { minLength: 1, maxLength: 12 })

describe('reduceAnswer', () => {
  // Frames arrive late, twice, out of order and from other attempts. In every case the caller must receive
  // the answer's tokens from the first one on, each exactly once.
  it('delivers each token once and in order', () => {
    fc.assert(fc.property(sizes, fc.infiniteStream(fc.nat()), (plan, picks) => {
      const frames = framesOf(plan)
      const delivered: string[] = []
      let state = beginAnswer(ATTEMPT, 0)
      for (let step = 0; step < 200; step += 1) {
        const pick = picks.next().value ?? 0
        const chosen = frames[pick % frames.length] ?? frameOf(0, 0, 1)
        const message = pick % 7 === 0 ? { ...chosen, attemptId: 'other/1/1' as AttemptId } : chosen
        const reduction = reduceAnswer(state, message)
        state = reduction.state
        if (reduction.step.kind === 'deliver') delivered.push(...reduction.step.tokens)
      }
      expect(delivered).to.deep.equal(Array.from({ length: delivered.length }, (_, index) => `t${index}`))
      expect(state.tokenCount).to.equal(delivered.length)
    }), { seed: SEED, numRuns: 300 })
  })

  it('requests the frames of a gap', () => {
    expect(reduceAnswer(beginAnswer(ATTEMPT, 0), frameOf(2, 0, 1)).step).to.deep.equal({ kind: 'gap', fromFrame: 0 })
  })

  it('reports a broken answer if tokens are missing', () => {
    expect(reduceAnswer(beginAnswer(ATTEMPT, 0), frameOf(0, 3, 1)).step.kind).to.equal('broken')
  })
})
