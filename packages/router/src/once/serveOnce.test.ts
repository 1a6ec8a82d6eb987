import { expect } from 'chai'
import { FinishReason, RefusalReason, RunState } from '@figmount/schema'

import { createTestBench, collectParts, tokensOf } from '../testing/createTestBench.js'
import { serveRequest } from '../requests/serveRequest.js'

import type { AttemptId, InstanceName } from '@figmount/base'
import type { PermitReply } from '@figmount/peers'
import type { AgentBehaviour } from '../testing/createFakeAgent.js'

const never = new AbortController().signal
const EARLIER_ATTEMPT = 'r9/1/1' as AttemptId

const answering: AgentBehaviour = (message, send) => {
  if (message.type !== 'start' && message.type !== 'resume') return
  const { attemptId } = message
  send({ type: 'tokens', attemptId, frame: 0, firstTokenIndex: 0, tokens: ['flag'] })
  send({ type: 'final', attemptId, frame: 1, tokenCount: 1, finishReason: FinishReason.STOP, version: 'v1' })
}

const permitting = (reply: (message: { readonly attemptId: AttemptId, readonly executor: InstanceName }) => PermitReply): AgentBehaviour => (message, send) => {
  if (message.type !== 'permit.ask') return answering(message, send)
  send({ type: 'permit.reply', askId: message.askId, reply: reply(message) })
}

const granting = permitting(({ attemptId, executor }) => ({
  kind: 'granted',
  permit: { caller: 'c' as never, requestKey: 'k' as never, attemptId, executor, executorIncarnation: '1' as never, keysHolder: 'a2' as InstanceName, keysFence: 1 as never }
}))

describe('serving a non-repeatable request', () => {
  it('starts without a permit on the holder of the keys right', async () => {
    const bench = createTestBench({ a1: answering })
    bench.grantKeys('a1')
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({ repeatable: false }), never)))
    expect(tokensOf(parts)).to.deep.equal(['flag'])
    expect(bench.agentOf('a1').receivedOf('permit.ask')).to.have.length(0)
  })

  it('starts on another agent with a permit from the holder', async () => {
    const bench = createTestBench({ a1: answering, a2: granting })
    bench.grantKeys('a2')
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({ repeatable: false }), never)))
    expect(tokensOf(parts)).to.deep.equal(['flag'])
    expect(bench.agentOf('a1').receivedOf('start')[0]?.permit?.executor).to.equal('a1')
  })

  // The first send went through another router that crashed. The holder already has the key, so the resend
  // must join the running attempt on its executor instead of starting a second one.
  it('joins the attempt of an earlier send', async () => {
    const known = permitting(() => ({ kind: 'known', attemptId: EARLIER_ATTEMPT, executor: 'a1' as InstanceName }))
    const bench = createTestBench({ a1: answering, a2: known })
    bench.grantKeys('a2')
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({ repeatable: false, resendCount: 1 }), never)))
    expect(parts.at(-1)).to.include({ kind: 'final', replayed: true })
    expect(bench.agentOf('a1').receivedOf('start')).to.have.length(0)
    expect(bench.agentOf('a1').receivedOf('resume')[0]?.attemptId).to.equal(EARLIER_ATTEMPT)
  })

  // The holder is unreachable. A first send cannot have run, so the refusal says "not run". For a resend, the
  // earlier send may have been permitted while the holder was still reachable, so the refusal says "may have run".
  it('reports the correct run state if the holder cannot be reached', async () => {
    for (const [resendCount, runState] of [[0, RunState.NOT_RUN], [1, RunState.MAY_HAVE_RUN]] as const) {
      const bench = createTestBench({ a1: answering, a2: granting })
      bench.grantKeys('a2')
      bench.agentOf('a2').setDown(true)
      const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({ repeatable: false, resendCount }), never)))
      expect(parts.at(-1)).to.have.nested.include({ 'note.runState': runState, 'note.peer': 'a2' })
      expect(bench.agentOf('a1').receivedOf('start')).to.have.length(0)
    }
  })

  // The executor is lost after the start was sent, so it is unknown whether the request ran. Starting it on
  // another agent could run it twice.
  it('reports "may have run" and starts no other attempt if the executor is lost', async () => {
    const bench = createTestBench({ a1: () => {}, a2: answering })
    bench.grantKeys('a1')
    bench.timers.after(500, () => {
      bench.agentOf('a1').setDown(true)
      bench.agentOf('a1').cut()
    })
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({ repeatable: false }), never)))
    expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.MAY_HAVE_RUN, 'note.reason': RefusalReason.UNAVAILABLE })
    expect(bench.agentOf('a2').receivedOf('start')).to.have.length(0)
  })

  // The executor reports the attempt as unknown: its start was lost or the agent has restarted. A resend may
  // learn more from the holder of the keys right, but only for a limited number of resends.
  it('reports "may have run" if the executor does not know the attempt', async () => {
    for (const [resendCount, retryAfterMs] of [[0, 1_000], [5, 0]] as const) {
      const forgetting = permitting(() => ({ kind: 'known', attemptId: EARLIER_ATTEMPT, executor: 'a1' as InstanceName }))
      const bench = createTestBench({
        a1: (message, send) => {
          if (message.type === 'resume') send({ type: 'unknown', attemptId: message.attemptId, incarnation: '2' as never })
          if (message.type === 'permit.ask') forgetting(message, send)
        }
      })
      bench.grantKeys('a1')
      bench.timers.after(500, () => bench.agentOf('a1').cut())
      const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({ repeatable: false, resendCount }), never)))
      expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.MAY_HAVE_RUN, 'note.retryAfterMs': retryAfterMs })
    }
  })

  // The executor is overloaded and answers "not run", but the holder still has the key as permitted. Unless
  // the permit is withdrawn, a resend would join an attempt that never ran.
  it('withdraws the permit if nothing ran', async () => {
    const full: AgentBehaviour = (message, send) => {
      if (message.type !== 'start') return
      send({ type: 'refused', attemptId: message.attemptId, refusal: { runState: RunState.NOT_RUN, reason: RefusalReason.OVERLOADED, retryAfterMs: 5, detail: '', step: 's', peer: 'a1' } })
    }
    const bench = createTestBench({ a1: full, a2: granting })
    bench.grantKeys('a2')
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({ repeatable: false }), never)))
    expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.NOT_RUN })
    expect(bench.agentOf('a2').receivedOf('permit.withdraw')).to.have.length(1)
  })

  it('reports "may have run" if the executor of the joined attempt cannot be reached', async () => {
    const known = permitting(() => ({ kind: 'known', attemptId: EARLIER_ATTEMPT, executor: 'a1' as InstanceName }))
    const bench = createTestBench({ a1: answering, a2: known })
    bench.grantKeys('a2')
    bench.agentOf('a1').setDown(true)
    const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({ repeatable: false, resendCount: 1 }), never)))
    expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.MAY_HAVE_RUN, 'note.peer': 'a1' })
  })

  it('continues when its caller disconnects', async () => {
    const bench = createTestBench({ a1: () => {} })
    bench.grantKeys('a1')
    const abort = new AbortController()
    bench.timers.after(500, () => abort.abort())
    await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({ repeatable: false }), abort.signal)))
    expect(bench.agentOf('a1').receivedOf('cancel')).to.have.length(0)
  })
})
