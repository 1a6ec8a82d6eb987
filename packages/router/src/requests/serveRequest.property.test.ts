import { expect } from 'chai'
import fc from 'fast-check'
import { FinishReason, RefusalReason, RunState } from '@figmount/schema'

import { createTestBench, collectParts, tokensOf } from '../testing/createTestBench.js'
import { DEADLINE_GRACE_MS } from './constants.js'
import { serveRequest } from './serveRequest.js'

import type { AttemptId, InstanceName } from '@figmount/base'
import type { AgentToRouterMessage } from '@figmount/peers'
import type { AgentBehaviour } from '../testing/createFakeAgent.js'

const SEED = 20_261_202
const DEADLINE_MS = 30_000
const WORDS = ['a', 'b', 'c', 'd']
const never = new AbortController().signal

/** Action of an agent on a `start` message. Each agent cycles through its list of actions. */
type AgentAction = 'answer' | 'stall' | 'refuse' | 'lose' | 'crash' | 'cut' | 'die' | 'silent'
const agentActions = fc.array(fc.constantFrom<AgentAction>('answer', 'stall', 'refuse', 'lose', 'crash', 'cut', 'die', 'silent'), { minLength: 1, maxLength: 3 })

const refusal = (attemptId: AttemptId, runState: RunState): AgentToRouterMessage =>
  ({ type: 'refused', attemptId, refusal: { runState, reason: RefusalReason.UNAVAILABLE, retryAfterMs: 5, detail: '', step: 's', peer: 'p' } })

const framesFrom = (attemptId: AttemptId, done: number): readonly AgentToRouterMessage[] => [
  { type: 'tokens', attemptId, frame: 0, firstTokenIndex: done, tokens: WORDS.slice(done) },
  { type: 'final', attemptId, frame: 1, tokenCount: WORDS.length, finishReason: FinishReason.STOP, version: 'v1' }
]

interface Fixture {
  readonly behaviours: Readonly<Record<string, AgentBehaviour>>
  /** Attempts that began to run on any agent. */
  readonly ran: Set<AttemptId>
  /** Replaced once the agents exist. */
  readonly trouble: { cut: (agent: string) => void, die: (agent: string) => void }
}

/** Creates agents that grant every permit and perform the given actions. */
const createFixture = (plan: Readonly<Record<string, readonly AgentAction[]>>): Fixture => {
  const ran = new Set<AttemptId>()
  const trouble = { cut: (_agent: string): void => {}, die: (_agent: string): void => {} }
  const behaviourOf = (agent: string, turns: readonly AgentAction[]): AgentBehaviour => {
    let turn = 0
    const storedFrames = new Map<AttemptId, readonly AgentToRouterMessage[]>()
    return (message, send) => {
      if (message.type === 'permit.ask') {
        const { attemptId, executor, executorIncarnation, request: { caller, requestKey } } = message
        const permit = { caller, requestKey, attemptId, executor, executorIncarnation, keysHolder: agent as InstanceName, keysFence: 1 as never }
        return send({ type: 'permit.reply', askId: message.askId, reply: { kind: 'granted', permit } })
      }
      if (message.type === 'resume') {
        const frames = storedFrames.get(message.attemptId)
        if (!frames) return send({ type: 'unknown', attemptId: message.attemptId, incarnation: '1' as never })
        for (const frame of frames.slice(message.fromFrame)) send(frame)
      }
      if (message.type !== 'start') return
      const { attemptId, request } = message
      const action = turns[turn++ % turns.length]
      const frames = framesFrom(attemptId, request.doneTokens.length)
      if (action === 'refuse') return send(refusal(attemptId, RunState.NOT_RUN))
      if (action === 'silent') return
      if (action === 'lose') return trouble.cut(agent)
      ran.add(attemptId)
      if (action === 'crash') return send(refusal(attemptId, RunState.MAY_HAVE_RUN))
      if (action === 'stall') return send({ type: 'tokens', attemptId, frame: 0, firstTokenIndex: request.doneTokens.length, tokens: WORDS.slice(request.doneTokens.length, request.doneTokens.length + 1) })
      storedFrames.set(attemptId, frames)
      if (action === 'cut') return trouble.cut(agent)
      if (action === 'die') return trouble.die(agent)
      for (const frame of frames) send(frame)
    }
  }
  const behaviours = Object.fromEntries(Object.entries(plan).map(([agent, turns]) => [agent, behaviourOf(agent, turns)]))
  return { behaviours, ran, trouble }
}

describe('serving through random failures', () => {
  // Links are cut; agents crash, lose a start, refuse, stall or stay silent, in any order. The caller
  // must get either its complete answer or a refusal in time, "not run" only if nothing ran, and a
  // non-repeatable request must be sent to at most one agent.
  it('returns a complete answer or a correct refusal in time', async () => {
    await fc.assert(fc.asyncProperty(agentActions, agentActions, fc.boolean(), fc.constantFrom('a1', 'a2'), async (first, second, repeatable, holder) => {
      const fixture = createFixture({ a1: first, a2: second })
      const bench = createTestBench(fixture.behaviours)
      fixture.trouble.cut = agent => bench.agentOf(agent).cut()
      fixture.trouble.die = agent => {
        bench.agentOf(agent).setDown(true)
        bench.agentOf(agent).cut()
      }
      bench.grantKeys(holder)
      const beganAtMs = bench.timers.nowMs()
      const parts = await bench.finish(collectParts(serveRequest(bench.context, bench.admitted({ repeatable }, DEADLINE_MS), never)))
      const last = parts.at(-1)
      expect(last?.kind).to.be.oneOf(['final', 'refusal'])
      expect(bench.timers.nowMs() - beganAtMs).to.be.at.most(DEADLINE_MS + DEADLINE_GRACE_MS + 1_000)
      expect(tokensOf(parts)).to.deep.equal(WORDS.slice(0, tokensOf(parts).length))
      if (last?.kind === 'final') expect(tokensOf(parts)).to.have.length(WORDS.length)
      if (last?.kind === 'refusal' && last.note.runState === RunState.NOT_RUN) expect(fixture.ran.size).to.equal(0)
      const startCount = ['a1', 'a2'].reduce((count, agent) => count + bench.agentOf(agent).receivedOf('start').length, 0)
      if (!repeatable) expect(startCount).to.be.at.most(1)
    }), { seed: SEED, numRuns: 60 })
  }).timeout(60_000)
})
