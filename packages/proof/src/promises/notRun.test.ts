import { expect } from 'chai'
import { RunState } from '@figmount/schema'

import { callOnce } from '../rig/callOnce.js'
import { MODEL, runCountOf, SERVICE, SLOW_TOKENS, startSmallSite, waitForRun, warmUp } from '../rig/smallSite.js'

import type { CallOutcome } from '../rig/callTypes.js'
import type { AgentPlan } from '../rig/sitePlan.js'
import type { Site } from '../rig/createSite.js'

/** Engines that run one request at a time, so that a short burst is an overload. */
const SERIAL_AGENTS: readonly AgentPlan[] = ['a1', 'a2'].map(name => ({
  name, services: [SERVICE], backendKeys: { ...SLOW_TOKENS, batch_size: 1 }, proxied: ['engine'] as const
}))

describe('a refusal that says "not run" is true', () => {
  let site: Site
  afterEach(async () => await site.close())

  const sendMany = async (count: number, prompt: string, deadlineMs: number, repeatable: boolean): Promise<readonly CallOutcome[]> =>
    await Promise.all(Array.from({ length: count }, async (_, index) => await callOnce(site.routerAddresses()[index % 2] ?? '', {
      service: SERVICE, model: MODEL, prompt: `${prompt} ${index}`, requestKey: `${prompt} ${index}`, deadlineMs, repeatable, maxTokens: 25
    })))

  /** Prompts that were refused as "not run" although they ran. */
  const findFalseNotRun = (outcomes: readonly CallOutcome[], prompt: string): readonly string[] =>
    outcomes.flatMap((outcome, index) => {
      const isNotRun = outcome.kind === 'refused' && outcome.refusal?.runState === RunState.NOT_RUN
      return isNotRun && runCountOf(site, `${prompt} ${index}`) > 0 ? [`${prompt} ${index}`] : []
    })

  // Far more requests arrive than can be served before their deadline. A refused request must never have been started.
  it('under overload', async () => {
    site = await startSmallSite('notrun-overload', { agents: SERIAL_AGENTS })
    await warmUp(site)
    for (const repeatable of [true, false]) {
      const prompt = repeatable ? 'again-' : 'bill-'
      const outcomes = await sendMany(12, prompt, 2500, repeatable)
      expect(outcomes.filter(outcome => outcome.kind === 'broken')).to.deep.equal([])
      expect(outcomes.some(outcome => outcome.kind === 'refused')).to.equal(true)
      expect(findFalseNotRun(outcomes, prompt)).to.deep.equal([])
    }
  })

  // The engine dies with some requests running and others waiting. Those that ran must not be refused as "not run".
  it('when the engine is killed', async () => {
    site = await startSmallSite('notrun-engine', { agents: SERIAL_AGENTS })
    await warmUp(site)
    const pending = sendMany(6, 'dies-', 6000, false)
    const engine = site.backend(await site.rig.events.waitFor(event => event.name === 'generateStarted' && event.detail?.startsWith('dies-') === true, 'a run').then(event => event.instance.replace('backend-', '')))
    await engine.kill()
    await engine.restart()
    expect(findFalseNotRun(await pending, 'dies-')).to.deep.equal([])
  })

  // Requests reach the engine and run, but its responses never reach the agent.
  it('when responses of the engine are lost', async () => {
    site = await startSmallSite('notrun-lost', { agents: SERIAL_AGENTS })
    await warmUp(site)
    for (const agent of ['a1', 'a2']) await site.proxy(`${agent}-engine`).command({ action: 'fault', fault: { kind: 'drop' }, direction: 'down', scope: 'all' })
    const pending = sendMany(4, 'lost-', 5000, false)
    expect(findFalseNotRun(await pending, 'lost-')).to.deep.equal([])
  })

  // The agent is killed with one request running and others waiting.
  it('when the agent is killed', async () => {
    site = await startSmallSite('notrun-agent', { agents: SERIAL_AGENTS })
    await warmUp(site)
    const pending = sendMany(4, 'killed-', 5000, false)
    const holder = await Promise.race([0, 1, 2, 3].map(async index => await waitForRun(site, `killed- ${index}`)))
    await site.agent(holder).kill()
    await site.agent(holder).restart()
    expect(findFalseNotRun(await pending, 'killed-')).to.deep.equal([])
  })
})
