import { create } from '@bufbuild/protobuf'
import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'
import { AnswerFrameSchema, FinalSchema, RefusalReason, RefusalSchema, RunState, TokensSchema } from '@figmount/schema'

import { createCaller } from './createCaller.js'

import type { AnswerFrame, InferRequest } from '@figmount/schema'
import type { CallRequest, OpenAnswer } from './types.js'

const request: CallRequest = { service: 's', model: 'm', prompt: 'p', maxTokens: 2, deadlineMs: 1_000, repeatable: false, requestKey: 'k' }
const STEP_MS = 10

const tokensAt = (number: number, firstTokenIndex: number, ...tokens: string[]): AnswerFrame =>
  create(AnswerFrameSchema, { number, body: { case: 'tokens', value: create(TokensSchema, { firstTokenIndex, tokens }) } })

const finalAt = (number: number, tokenCount: number): AnswerFrame =>
  create(AnswerFrameSchema, { number, body: { case: 'final', value: create(FinalSchema, { frameCount: number + 1, tokenCount }) } })

const refusal = (runState: RunState, retryAfterMs: number): AnswerFrame =>
  create(AnswerFrameSchema, { number: 0, body: { case: 'refusal', value: create(RefusalSchema, { runState, retryAfterMs, reason: RefusalReason.OVERLOADED }) } })

const completeAnswer = [tokensAt(0, 0, 'a', 'b'), finalAt(1, 2)]

/** Runs one call in virtual time; each send receives the next of `answers`, which may go silent or be cut. */
const runCall = async (answers: ReadonlyArray<readonly (AnswerFrame | 'silence' | 'cut')[]>, patienceMs = 60_000) => {
  const timers = createVirtualTimers(1_000_000)
  const sends: { readonly request: InferRequest, readonly address: string, readonly atMs: number }[] = []
  const openAnswer: OpenAnswer = async function * (address, sent, signal) {
    sends.push({ request: sent, address, atMs: timers.nowMs() })
    for (const step of answers[Math.min(sends.length, answers.length) - 1] ?? []) {
      if (step === 'cut') throw new Error('connection reset')
      if (step === 'silence') await new Promise((_resolve, reject) => signal.addEventListener('abort', reject))
      else yield step
    }
  }
  const call = createCaller({ addresses: ['a:1', 'b:1'], key: 'x', timers, random: () => 0, patienceMs, openAnswer }).call(request)
  const done = call.then(() => true)
  for (let step = 0; step < 20_000; step += 1) {
    if (await Promise.race([done, new Promise<false>(resolve => setImmediate(() => resolve(false)))])) break
    timers.advance(STEP_MS)
  }
  return { outcome: await call, sends }
}

describe('caller', () => {
  it('returns a complete answer', async () => {
    const { outcome, sends } = await runCall([completeAnswer])
    expect(outcome).to.include({ kind: 'answered', sendCount: 1 })
    expect(sends[0]?.request).to.include({ resendCount: 0, requestKey: 'k' })
  })

  // The connection is cut after the first token. The caller must not return a partial answer: it sends the same key
  // and issue time again, to the next address, and counts the resend.
  it('resends the same key after a loss, at another address', async () => {
    const { outcome, sends } = await runCall([[tokensAt(0, 0, 'a'), 'cut'], completeAnswer])
    expect(outcome.kind).to.equal('answered')
    expect(sends.map(sent => sent.request.resendCount)).to.deep.equal([0, 1])
    expect(sends.map(sent => sent.address)).to.deep.equal(['a:1', 'b:1'])
    expect(sends[1]?.request.issuedAtMs).to.equal(sends[0]?.request.issuedAtMs)
  })

  // A device on the network path drops the connection's state: no more frames arrive, and no error either.
  it('treats a silent stream as lost', async () => {
    const { outcome, sends } = await runCall([[tokensAt(0, 0, 'a'), 'silence'], completeAnswer])
    expect(outcome.kind).to.equal('answered')
    expect(sends[1]?.atMs).to.be.within(3_000, 3_200)
  })

  it('rejects answers with gaps, wrong counts or a missing end', async () => {
    const broken = [[tokensAt(0, 0, 'a'), tokensAt(2, 1, 'b')], [tokensAt(0, 0, 'a'), tokensAt(1, 2, 'b')], [tokensAt(0, 0, 'a'), finalAt(1, 2)], [tokensAt(0, 0, 'a')]]
    const { outcome } = await runCall([...broken, completeAnswer])
    expect(outcome).to.include({ kind: 'answered', sendCount: 5 })
  })

  it('waits for the retry time and gives a new issue time only after "not run"', async () => {
    const { sends } = await runCall([[refusal(RunState.MAY_HAVE_RUN, 700)], [refusal(RunState.NOT_RUN, 500)], completeAnswer])
    expect(sends[1]?.atMs).to.be.within(700, 720)
    expect(sends.map(sent => sent.request.resendCount)).to.deep.equal([0, 1, 0])
    expect(sends[1]?.request.issuedAtMs).to.equal(sends[0]?.request.issuedAtMs)
    expect(Number(sends[2]?.request.issuedAtMs)).to.be.greaterThan(Number(sends[1]?.request.issuedAtMs))
  })

  it('gives up on a refusal without a retry time, or when its time is up', async () => {
    const refused = await runCall([[refusal(RunState.MAY_HAVE_RUN, 0)]])
    expect(refused.outcome).to.include({ kind: 'refused', sendCount: 1 })
    const timedOut = await runCall([[refusal(RunState.NOT_RUN, 400)]], 1_000)
    expect(timedOut.outcome).to.include({ kind: 'givenUp', sendCount: 3 })
  })
})
