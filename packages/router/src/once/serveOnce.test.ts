import { expect } from 'chai'
import { FinishReason, RefusalReason, RunState } from '@figmount/schema'

import { createBench, gather, tokensOf } from '../testing/createBench.js'
import { serveRequest } from '../requests/serveRequest.js'

import type { AttemptId, InstanceName } from '@figmount/base'
import type { PermitReply } from '@figmount/peers'
import type { Behave } from '../testing/createFakeAgent.js'

const never = new AbortController().signal
const EARLIER = 'r9/1/1' as AttemptId

const answering: Behave = (message, say) => {
  if (message.type !== 'start' && message.type !== 'resume') return
  const { attemptId } = message
  say({ type: 'tokens', attemptId, frame: 0, firstTokenIndex: 0, tokens: ['flag'] })
  say({ type: 'final', attemptId, frame: 1, tokenCount: 1, finishReason: FinishReason.STOP, version: 'v1' })
}

const permitting = (reply: (message: { readonly attemptId: AttemptId, readonly executor: InstanceName }) => PermitReply): Behave => (message, say) => {
  if (message.type !== 'permit.ask') return answering(message, say)
  say({ type: 'permit.reply', askId: message.askId, reply: reply(message) })
}

const granting = permitting(({ attemptId, executor }) => ({
  kind: 'granted',
  permit: { caller: 'c' as never, requestKey: 'k' as never, attemptId, executor, executorIncarnation: '1' as never, keysHolder: 'a2' as InstanceName, keysFence: 1 as never }
}))

describe('serving a request that may not be repeated', () => {
  it('starts without a permit where the keys are held', async () => {
    const bench = createBench({ a1: answering })
    bench.grantKeys('a1')
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted({ repeatable: false }), never)))
    expect(tokensOf(parts)).to.deep.equal(['flag'])
    expect(bench.agentOf('a1').heardOf('permit.ask')).to.have.length(0)
  })

  it('starts elsewhere under the holder\'s permit', async () => {
    const bench = createBench({ a1: answering, a2: granting })
    bench.grantKeys('a2')
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted({ repeatable: false }), never)))
    expect(tokensOf(parts)).to.deep.equal(['flag'])
    expect(bench.agentOf('a1').heardOf('start')[0]?.permit?.executor).to.equal('a1')
  })

  // A foreman's alert was sent through another router that died. The resend reaches this one.
  // The holder knows the key: the running attempt is joined where it runs and not started again.
  it('joins the attempt of an earlier send', async () => {
    const known = permitting(() => ({ kind: 'known', attemptId: EARLIER, executor: 'a1' as InstanceName }))
    const bench = createBench({ a1: answering, a2: known })
    bench.grantKeys('a2')
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted({ repeatable: false, resendCount: 1 }), never)))
    expect(parts.at(-1)).to.include({ kind: 'final', replayed: true })
    expect(bench.agentOf('a1').heardOf('start')).to.have.length(0)
    expect(bench.agentOf('a1').heardOf('resume')[0]?.attemptId).to.equal(EARLIER)
  })

  // The holder's instance is cut off. Of a first send nothing can have run, so the caller hears
  // "not run". An earlier send may have been let in before the cut, so a resend hears "may have run".
  it('says what is true when the holder cannot be reached', async () => {
    for (const [resendCount, runState] of [[0, RunState.NOT_RUN], [1, RunState.MAY_HAVE_RUN]] as const) {
      const bench = createBench({ a1: answering, a2: granting })
      bench.grantKeys('a2')
      bench.agentOf('a2').setDown(true)
      const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted({ repeatable: false, resendCount }), never)))
      expect(parts.at(-1)).to.have.nested.include({ 'note.runState': runState, 'note.peer': 'a2' })
      expect(bench.agentOf('a1').heardOf('start')).to.have.length(0)
    }
  })

  // The executor's instance is lost after the start was sent. Whether the crew was dispatched is
  // unknown; starting the request elsewhere could dispatch it twice.
  it('may have run when its executor is lost, and runs nowhere else', async () => {
    const bench = createBench({ a1: () => {}, a2: answering })
    bench.grantKeys('a1')
    bench.timers.after(500, () => {
      bench.agentOf('a1').setDown(true)
      bench.agentOf('a1').cut()
    })
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted({ repeatable: false }), never)))
    expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.MAY_HAVE_RUN, 'note.reason': RefusalReason.UNAVAILABLE })
    expect(bench.agentOf('a2').heardOf('start')).to.have.length(0)
  })

  // The executor does not know the attempt: its start was lost, or the agent has restarted. A resend
  // may find out from the keys' holder, but not for ever.
  it('may have run when its executor has forgotten it', async () => {
    for (const [resendCount, retryAfterMs] of [[0, 1_000], [5, 0]] as const) {
      const forgetting = permitting(() => ({ kind: 'known', attemptId: EARLIER, executor: 'a1' as InstanceName }))
      const bench = createBench({
        a1: (message, say) => {
          if (message.type === 'resume') say({ type: 'unknown', attemptId: message.attemptId, incarnation: '2' as never })
          if (message.type === 'permit.ask') forgetting(message, say)
        }
      })
      bench.grantKeys('a1')
      bench.timers.after(500, () => bench.agentOf('a1').cut())
      const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted({ repeatable: false, resendCount }), never)))
      expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.MAY_HAVE_RUN, 'note.retryAfterMs': retryAfterMs })
    }
  })

  // The executor is full and says "not run". The holder still has the key as permitted; unless it
  // is told, the caller's next try is joined to a run that never was.
  it('gives the permit back when nothing ran', async () => {
    const full: Behave = (message, say) => {
      if (message.type !== 'start') return
      say({ type: 'refused', attemptId: message.attemptId, refusal: { runState: RunState.NOT_RUN, reason: RefusalReason.OVERLOADED, retryAfterMs: 5, detail: '', step: 's', peer: 'a1' } })
    }
    const bench = createBench({ a1: full, a2: granting })
    bench.grantKeys('a2')
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted({ repeatable: false }), never)))
    expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.NOT_RUN })
    expect(bench.agentOf('a2').heardOf('permit.withdraw')).to.have.length(1)
  })

  it('may have run when what it joins cannot be reached', async () => {
    const known = permitting(() => ({ kind: 'known', attemptId: EARLIER, executor: 'a1' as InstanceName }))
    const bench = createBench({ a1: answering, a2: known })
    bench.grantKeys('a2')
    bench.agentOf('a1').setDown(true)
    const parts = await bench.finish(gather(serveRequest(bench.context, bench.admitted({ repeatable: false, resendCount: 1 }), never)))
    expect(parts.at(-1)).to.have.nested.include({ 'note.runState': RunState.MAY_HAVE_RUN, 'note.peer': 'a1' })
  })

  it('runs on when its caller leaves', async () => {
    const bench = createBench({ a1: () => {} })
    bench.grantKeys('a1')
    const abort = new AbortController()
    bench.timers.after(500, () => abort.abort())
    await bench.finish(gather(serveRequest(bench.context, bench.admitted({ repeatable: false }), abort.signal)))
    expect(bench.agentOf('a1').heardOf('cancel')).to.have.length(0)
  })
})
