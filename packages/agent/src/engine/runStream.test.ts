import { createTimerService } from '@figmount/base'
import { FinishReason } from '@figmount/schema'
import { expect } from 'chai'
import { EitherAsync } from 'purify-ts'

import { runStream } from './runStream.js'

import type { ModelId } from '@figmount/base'
import type { StreamEnd } from './runStream.js'
import type { Chunk, EngineClient, GenerateArgs, Inventory } from './types.js'

const INCARNATION = 'i1'
const WHOLE = ['a', 'b', 'c', 'd']

const args: GenerateArgs = { streamId: 's', model: 'm' as ModelId, version: 'v', adapter: '', prompt: '', prefixHint: '', maxTokens: WHOLE.length, priority: 0, doneTokens: [] }

const chunk = (firstTokenIndex: number, tokens: readonly string[], last = false): Chunk =>
  ({ firstTokenIndex, tokens, last, finishReason: FinishReason.LENGTH, kvUsedMb: 0 })

/** An engine whose first stream sends these chunks and closes its connection in order; a resumed one sends the rest. */
const run = async (first: readonly Chunk[]): Promise<{ readonly end: StreamEnd, readonly tokens: readonly string[], readonly resumedFrom: readonly number[] }> => {
  const tokens: string[] = []
  const resumedFrom: number[] = []
  const engine = {
    address: 'engine:1',
    inventory: () => EitherAsync(async () => ({ incarnation: INCARNATION }) as Inventory),
    generate: async function * () { yield * first },
    resume: async function * (_streamId: string, from: number) {
      resumedFrom.push(from)
      yield chunk(from, WHOLE.slice(from), true)
    }
  } as unknown as EngineClient
  const end = await runStream({
    engine,
    timers: createTimerService(),
    args,
    incarnation: INCARNATION,
    maxUnreachableMs: 1_000,
    signal: new AbortController().signal,
    onTokens: (_firstTokenIndex, fresh) => { tokens.push(...fresh) },
    onResume: () => {}
  })
  return { end, tokens, resumedFrom }
}

describe('the end of an engine\'s stream', () => {
  it('is its last chunk', async () => {
    const { end, tokens, resumedFrom } = await run([chunk(0, ['a', 'b']), chunk(2, ['c', 'd']), chunk(4, [], true)])
    expect(end).to.deep.include({ kind: 'finished', tokenCount: 4 })
    expect({ tokens, resumedFrom }).to.deep.equal({ tokens: WHOLE, resumedFrom: [] })
  })

  it('is followed by nothing', async () => {
    // Guards against tokens behind the end that reach the caller or not, depending on how the stream's bytes arrive.
    const { end, tokens } = await run([chunk(0, WHOLE, true), chunk(4, ['of another answer'])])
    expect(end).to.deep.include({ kind: 'finished', tokenCount: 4 })
    expect(tokens).to.deep.equal(WHOLE)
  })

  it('is not the end of its connection', async () => {
    // Guards against part of a stream that counts as whole.
    const { end, tokens, resumedFrom } = await run([chunk(0, ['a', 'b'])])
    expect(end).to.deep.include({ kind: 'finished', tokenCount: 4 })
    expect({ tokens, resumedFrom }).to.deep.equal({ tokens: WHOLE, resumedFrom: [2] })
  })

  it('is not a last chunk behind missing tokens', async () => {
    // Guards against a last chunk without tokens whose index shows that others are missing.
    const { end, tokens, resumedFrom } = await run([chunk(0, ['a', 'b']), chunk(4, [], true)])
    expect(end).to.deep.include({ kind: 'finished', tokenCount: 4 })
    expect({ tokens, resumedFrom }).to.deep.equal({ tokens: WHOLE, resumedFrom: [2] })
  })
})
