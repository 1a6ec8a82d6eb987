import { expect } from 'chai'
import { FinishReason, RefusalReason, RunState } from '@figmount/schema'

import { createBench, gather, tokensOf } from '../testing/createBench.js'
import { serveRequest } from './serveRequest.js'

import type { AttemptId, Incarnation } from '@figmount/base'
import type { FromAgent } from '@figmount/peers'
import type { Behave } from '../testing/createFakeAgent.js'

const never = new AbortController().signal

const tokens = (attemptId: AttemptId, frame: number, firstTokenIndex: number, ...words: string[]): FromAgent =>
  ({ type: 'tokens', attemptId, frame, firstTokenIndex, tokens: words })

const final = (attemptId: AttemptId, frame: number, tokenCount: number): FromAgent =>
  ({ type: 'final', attemptId, frame, tokenCount, finishReason: FinishReason.STOP, version: 'v1' })

const words = ['a', 'b', 'c', 'd']

/** Answers every start with what is left of four tokens. */
const answering: Behave = (message, say) => {
  if (message.type !== 'start') return
  const { attemptId, request } = message
  const done = request.doneTokens.length
  say(tokens(attemptId, 0, done, ...words.slice(done)))
  say(final(attemptId, 1, words.length))
}

/** Sends two tokens and then nothing. */
const stalling: Behave = (message, say) => {
  if (message.type === 'start') say(tokens(message.attemptId, 0, 0, 'a', 'b'))
}

const refusing = (runState: RunState, reason: RefusalReason): Behave => (message, say) => {
  if (message.type !== 'start') return
  say({ type: 'refused', attemptId: message.attemptId, refusal: { runState, reason, retryAfterMs: 5, detail: '', step: 's', peer: 'p' } })
}

describe('serving a repeatable request', () => {
  it('passes a whole answer on', async () => {
    const bench = createBench({ a1: answering })
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted(), never)))
    expect(tokensOf(parts)).to.deep.equal(words)
    expect(parts.at(-1)).to.include({ kind: 'final', tokenCount: 4, replayed: false })
  })

  // A caller reads a stream; the backend server's instance is reclaimed after two tokens.
  // The link breaks and the agent can't be dialled any more. The request has to go on at
  // the second replica behind these two tokens, and the caller sees one answer.
  it('goes on elsewhere when its agent is lost', async () => {
    const bench = createBench({ a1: stalling, a2: answering })
    bench.timers.after(500, () => {
      bench.agentOf('a1').setDown(true)
      bench.agentOf('a1').cut()
    })
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted(), never)))
    expect(tokensOf(parts)).to.deep.equal(words)
    expect(bench.agentOf('a2').heardOf('start')[0]?.request.doneTokens).to.deep.equal(['a', 'b'])
  })

  // The link is cut for a moment while an answer streams. The new link must ask for the
  // attempt from its next frame; a second start would run the request twice.
  it('resumes on a new link and is not started again', async () => {
    const bench = createBench({
      a1: (message, say) => {
        stalling(message, say)
        if (message.type !== 'resume') return
        say(tokens(message.attemptId, 1, 2, 'c', 'd'))
        say(final(message.attemptId, 2, 4))
      }
    })
    bench.timers.after(500, () => bench.agentOf('a1').cut())
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted(), never)))
    expect(tokensOf(parts)).to.deep.equal(words)
    expect(bench.agentOf('a1').heardOf('start')).to.have.length(1)
    expect(bench.agentOf('a1').heardOf('resume').map(message => message.fromFrame)).to.deep.equal([1])
  })

  // A start is on its way when the link goes silent. The agent, asked on a new link, does not know
  // the attempt. It is the only one that may hold the model; passed over, its caller is refused.
  it('starts again at the same agent that does not know the attempt', async () => {
    let startCount = 0
    const bench = createBench({
      a1: (message, say) => {
        if (message.type === 'resume') say({ type: 'unknown', attemptId: message.attemptId, incarnation: '1' as Incarnation })
        if (message.type === 'start' && ++startCount > 1) answering(message, say)
      }
    })
    bench.timers.after(500, () => bench.agentOf('a1').cut())
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted(), never)))
    expect(tokensOf(parts)).to.deep.equal(words)
    expect(parts.at(-1)).to.include({ kind: 'final', tokenCount: 4 })
  })

  // The agent loses every attempt, since its process dies under each. The request must not go on for ever.
  it('gives up an agent that loses it twice', async () => {
    const bench = createBench({
      a1: (message, say) => {
        if (message.type === 'resume') say({ type: 'unknown', attemptId: message.attemptId, incarnation: '1' as Incarnation })
      }
    })
    const stopCutting = bench.timers.every(500, () => bench.agentOf('a1').cut())
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted(), never)))
    stopCutting()
    expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.MAY_HAVE_RUN, 'note.reason': RefusalReason.UNAVAILABLE })
    expect(bench.agentOf('a1').heardOf('start')).to.have.length(2)
  })

  it('tries another agent after a refusal and then refuses', async () => {
    const full = refusing(RunState.NOT_RUN, RefusalReason.OVERLOADED)
    const bench = createBench({ a1: full, a2: full })
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted(), never)))
    expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.NOT_RUN, 'note.reason': RefusalReason.OVERLOADED })
    expect(bench.agentOf('a2').heardOf('start')).to.have.length(1)
  })

  // A burst was queued when the agent reported and is served by now. The next caller must not be
  // refused for a queue that is gone.
  it('is not refused on an old report', async () => {
    const bench = createBench({ a1: answering })
    bench.agentOf('a1').setQueuedSeconds(100)
    await bench.finish(bench.links.linkTo('a1' as never).whenOpen(1_000).run())
    bench.agentOf('a1').setQueuedSeconds(0)
    await bench.settle(500)
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted({}, 10_000), never)))
    expect(parts.at(-1)?.kind).to.equal('final')
  })

  it('does not say "not run" when tokens came', async () => {
    const bench = createBench({ a1: stalling })
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted({}, 4_000), never)))
    expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.RAN, 'note.reason': RefusalReason.DEADLINE })
  })

  it('tells a waiting caller every second that it is alive', async () => {
    const bench = createBench({ a1: () => {} })
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted({}, 5_500), never)))
    expect(parts.filter(part => part.kind === 'waiting')).to.have.length(5)
  })

  it('is cancelled when its caller leaves', async () => {
    const bench = createBench({ a1: stalling })
    const abort = new AbortController()
    bench.timers.after(500, () => abort.abort())
    await bench.finish(gather(serveRequest(bench.context, bench.admitted(), abort.signal)))
    expect(bench.agentOf('a1').heardOf('cancel')).to.have.length(1)
  })

  // One request brings down the engine that runs it, and its caller sends it again at once.
  // The suspicion came from a peer before the log has it: after two deaths it is refused.
  it('is refused when it has brought down backend servers', async () => {
    const bench = createBench({ a1: answering })
    for (const deathId of ['d1', 'd2']) bench.context.suspects.hear({ fingerprints: ['f'], deathId, instance: 'a1' as never })
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted(), never)))
    expect(parts.at(-1)).to.have.nested.include({ 'note.reason': RefusalReason.QUARANTINED, 'note.retryAfterMs': 0 })
    expect(bench.agentOf('a1').heardOf('start')).to.have.length(0)
  })

  it('drops crossed and repeated frames', async () => {
    const bench = createBench({
      a1: (message, say) => {
        if (message.type !== 'start') return
        const { attemptId } = message
        say(tokens('other/1/1' as AttemptId, 0, 0, 'x'))
        say(tokens(attemptId, 0, 0, 'a', 'b'))
        say(tokens(attemptId, 0, 0, 'a', 'b'))
        say(tokens(attemptId, 1, 1, 'b', 'c', 'd'))
        say(final(attemptId, 2, 4))
      }
    })
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted(), never)))
    expect(tokensOf(parts)).to.deep.equal(words)
  })
})
