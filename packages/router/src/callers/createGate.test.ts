import { expect } from 'chai'
import { Right } from 'purify-ts'
import { createVirtualTimers } from '@figmount/base'
import { RefusalReason } from '@figmount/schema'

import { createTestBench, collectParts } from '../testing/createTestBench.js'
import { createGate } from './createGate.js'
import { openRequest } from './openRequest.js'

import type { AnswerPart } from '../answers/types.js'
import type { AgentBehaviour } from '../testing/createFakeAgent.js'

const never = new AbortController().signal
const reasonOf = (parts: readonly AnswerPart[]): RefusalReason | undefined => {
  const last = parts.at(-1)
  return last?.kind === 'refusal' ? last.note.reason : undefined
}

describe('admission gate', () => {
  it('refuses at once when the router is full, and admits again after a request has ended', async () => {
    const bench = createTestBench({ a1: () => {} })
    const gate = createGate(bench.timers, 1)
    const abort = new AbortController()
    const open = (signal: AbortSignal) => openRequest({ context: bench.context, gate, admit: () => Right(bench.admitted()), fields: {}, resendCount: 0, signal })
    const first = collectParts(open(abort.signal))
    expect(reasonOf(await collectParts(open(never)))).to.equal(RefusalReason.OVERLOADED)
    abort.abort()
    await bench.finish(first)
    expect(gate.count()).to.equal(0)
    expect(gate.enter()).to.equal('admitted')
  })

  // The router is stopped while an answer streams. New requests must be refused with a short retry delay,
  // and the running one must receive its last frame before the router exits.
  it('lets running requests finish after it was closed', async () => {
    const late: AgentBehaviour = (message, send) => {
      if (message.type !== 'start') return
      const { attemptId } = message
      bench.timers.after(2_000, () => send({ type: 'final', attemptId, frame: 0, tokenCount: 0, finishReason: 1, version: 'v1' }))
    }
    const bench = createTestBench({ a1: late })
    const gate = createGate(bench.timers, 10)
    const open = () => openRequest({ context: bench.context, gate, admit: () => Right(bench.admitted()), fields: {}, resendCount: 0, signal: never })
    const running = collectParts(open())
    await bench.settle(100)
    gate.close()
    expect(reasonOf(await collectParts(open()))).to.equal(RefusalReason.STOPPING)
    const emptied = gate.whenEmpty(10_000)
    expect((await bench.finish(running)).at(-1)?.kind).to.equal('final')
    expect(await emptied).to.equal(true)
  })

  it('stops waiting for requests after the timeout', async () => {
    const timers = createVirtualTimers()
    const gate = createGate(timers, 1)
    gate.enter()
    const emptied = gate.whenEmpty(500)
    timers.advance(500)
    expect(await emptied).to.equal(false)
  })
})
