import { expect } from 'chai'
import { FinishReason, RefusalReason, RunState } from '@figmount/schema'

import { createTestBench, collectParts, tokensOf } from '../testing/createTestBench.js'
import { serveRequest } from './serveRequest.js'

import type { AttemptId, Incarnation } from '@figmount/base'
import type { AgentToRouterMessage } from '@figmount/peers'
import type { AgentBehaviour } from '../testing/createFakeAgent.js'

const never = new AbortController().signal

const tokens = (attemptId: AttemptId, frame: number, firstTokenIndex: number, ...words: string[]): AgentToRouterMessage =>
  ({ type: 'tokens', attemptId, frame, firstTokenIndex, tokens: words })

const final = (attemptId: AttemptId, frame: number, tokenCount: number): AgentToRouterMessage =>
  ({ type: 'final', attemptId, frame, tokenCount, finishReason: FinishReason.STOP, version: 'v1' })

const words = ['a', 'b', 'c', 'd']

/** Answers every start with the rest of four tokens. */
const answering: AgentBehaviour = (message, send) => {
  if (message.type !== 'start') return
  const { attemptId, request } = message
  const done = request.doneTokens.length
  send(tokens(attemptId, 0, done, ...words.slice(done)))
  send(final(attemptId, 1, words.length))
}

/** Sends two tokens and then nothing. */
const stalling: AgentBehaviour = (message, send) => {
  if (message.type === 'start') send(tokens(message.attemptId, 0, 0, 'a', 'b'))
}

const refusing = (runState: RunState, reason: RefusalReason): AgentBehaviour => (message, send) => {
  if (message.type !== 'start') return
  send({ type: 'refused', attemptId: message.attemptId, refusal: { runState, reason, retryAfterMs: 5, detail: '', step: 's', peer: 'p' } })
}

describe('serving a repeatable request', () => {
  it('delivers a complete answer', async () => {
    const bench = createTestBench({ a1: answering })
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted(), never)))
    expect(tokensOf(parts)).to.deep.equal(words)
    expect(parts.at(-1)).to.include({ kind: 'final', tokenCount: 4, replayed: false })
  })

  // The instance is reclaimed after two tokens were streamed: the link breaks and dials fail. The request
  // must continue on the second replica after these tokens, and the caller must see one answer.
  it('continues on another agent when its agent is lost', async () => {
    const bench = createTestBench({ a1: stalling, a2: answering })
    bench.timers.after(500, () => {
      bench.agentOf('a1').setDown(true)
      bench.agentOf('a1').cut()
    })
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted(), never)))
    expect(tokensOf(parts)).to.deep.equal(words)
    expect(bench.agentOf('a2').receivedOf('start')[0]?.request.doneTokens).to.deep.equal(['a', 'b'])
  })

  // The link is cut briefly while an answer streams. The new link must resume the attempt from its
  // next frame; a second start would run the request twice.
  it('resumes on a new link without a second start', async () => {
    const bench = createTestBench({
      a1: (message, send) => {
        stalling(message, send)
        if (message.type !== 'resume') return
        send(tokens(message.attemptId, 1, 2, 'c', 'd'))
        send(final(message.attemptId, 2, 4))
      }
    })
    bench.timers.after(500, () => bench.agentOf('a1').cut())
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted(), never)))
    expect(tokensOf(parts)).to.deep.equal(words)
    expect(bench.agentOf('a1').receivedOf('start')).to.have.length(1)
    expect(bench.agentOf('a1').receivedOf('resume').map(message => message.fromFrame)).to.deep.equal([1])
  })

  // The start message is lost with the link, and on the new link the agent reports the attempt as unknown.
  // It is the only agent for the model; if it were excluded, the request would be refused.
  it('restarts on the same agent if that does not know the attempt', async () => {
    let startCount = 0
    const bench = createTestBench({
      a1: (message, send) => {
        if (message.type === 'resume') send({ type: 'unknown', attemptId: message.attemptId, incarnation: '1' as Incarnation })
        if (message.type === 'start' && ++startCount > 1) answering(message, send)
      }
    })
    bench.timers.after(500, () => bench.agentOf('a1').cut())
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted(), never)))
    expect(tokensOf(parts)).to.deep.equal(words)
    expect(parts.at(-1)).to.include({ kind: 'final', tokenCount: 4 })
  })

  // The agent loses every attempt because its process crashes each time. The request must not be retried without end.
  it('excludes an agent that loses the request twice', async () => {
    const bench = createTestBench({
      a1: (message, send) => {
        if (message.type === 'resume') send({ type: 'unknown', attemptId: message.attemptId, incarnation: '1' as Incarnation })
      }
    })
    const stopCutting = bench.timers.every(500, () => bench.agentOf('a1').cut())
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted(), never)))
    stopCutting()
    expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.MAY_HAVE_RUN, 'note.reason': RefusalReason.UNAVAILABLE })
    expect(bench.agentOf('a1').receivedOf('start')).to.have.length(2)
  })

  it('tries another agent after a refusal, then refuses', async () => {
    const full = refusing(RunState.NOT_RUN, RefusalReason.OVERLOADED)
    const bench = createTestBench({ a1: full, a2: full })
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted(), never)))
    expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.NOT_RUN, 'note.reason': RefusalReason.OVERLOADED })
    expect(bench.agentOf('a2').receivedOf('start')).to.have.length(1)
  })

  // A burst was queued when the agent reported and has been served since. The next caller must not be
  // refused because of the outdated queue length.
  it('is not refused because of an outdated report', async () => {
    const bench = createTestBench({ a1: answering })
    bench.agentOf('a1').setQueuedSeconds(100)
    await bench.finish(bench.links.linkTo('a1' as never).whenOpen(1_000).run())
    bench.agentOf('a1').setQueuedSeconds(0)
    await bench.settle(500)
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({}, 10_000), never)))
    expect(parts.at(-1)?.kind).to.equal('final')
  })

  it('does not report "not run" after tokens were delivered', async () => {
    const bench = createTestBench({ a1: stalling })
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({}, 4_000), never)))
    expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.RAN, 'note.reason': RefusalReason.DEADLINE })
  })

  it('sends a waiting caller a frame every second', async () => {
    const bench = createTestBench({ a1: () => {} })
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({}, 5_500), never)))
    expect(parts.filter(part => part.kind === 'waiting')).to.have.length(5)
  })

  it('is cancelled when its caller disconnects', async () => {
    const bench = createTestBench({ a1: stalling })
    const abort = new AbortController()
    bench.timers.after(500, () => abort.abort())
    await bench.finish(collectParts(serveRequest(bench.context, bench.admitted(), abort.signal)))
    expect(bench.agentOf('a1').receivedOf('cancel')).to.have.length(1)
  })

  // One request crashes the engine that runs it, and its caller resends it at once. Peers report the
  // crashes before the log does: after two crashes the request must be refused.
  it('is refused after it has crashed backend servers', async () => {
    const bench = createTestBench({ a1: answering })
    for (const deathId of ['d1', 'd2']) bench.context.suspects.addFromPeer({ fingerprints: ['f'], deathId, instance: 'a1' as never })
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted(), never)))
    expect(parts.at(-1)).to.have.nested.include({ 'note.reason': RefusalReason.QUARANTINED, 'note.retryAfterMs': 0 })
    expect(bench.agentOf('a1').receivedOf('start')).to.have.length(0)
  })

  it('drops frames of other attempts and repeated frames', async () => {
    const bench = createTestBench({
      a1: (message, send) => {
        if (message.type !== 'start') return
        const { attemptId } = message
        send(tokens('other/1/1' as AttemptId, 0, 0, 'x'))
        send(tokens(attemptId, 0, 0, 'a', 'b'))
        send(tokens(attemptId, 0, 0, 'a', 'b'))
        send(tokens(attemptId, 1, 1, 'b', 'c', 'd'))
        send(final(attemptId, 2, 4))
      }
    })
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted(), never)))
    expect(tokensOf(parts)).to.deep.equal(words)
  })
})
