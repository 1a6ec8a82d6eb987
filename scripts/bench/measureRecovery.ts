import { createTimerService } from '@figmount/base'
import { sendUntilEnded } from '@figmount/proof'

import { MODEL, SERVICE } from './constants.js'

import type { RigProcess, Site } from '@figmount/proof'
import type { BenchRow } from './types.js'

/** After this the caller sends no more; a send under way may still be answered. Without an answer it counts as not recovered. */
const GIVE_UP_MS = 10_000
const DEADLINE_MS = 5000
const TOKEN_COUNT = 50

const timers = createTimerService()

interface Victim {
  readonly name: string
  readonly process: RigProcess
  /** True where the bench starts it again at once, as a supervisor does. */
  readonly isRestarted: boolean
}

interface Recovery {
  /** null where the caller was not answered. */
  readonly tookMs: number | null
  /** What the caller was told last where it was not answered. */
  readonly reason: string
}

/** A key whose first send goes to the first router. */
const keyFor = (prompt: string): string => `a-${prompt}-a`

const expectAnswer = async (site: Site, prompt: string): Promise<void> => {
  const { last } = await sendUntilEnded(site.routerAddresses, { service: SERVICE, model: MODEL, prompt, maxTokens: 1 })
  if (last.kind !== 'answered') throw new Error(`no answer between two cases of recovery: ${last.kind}`)
}

/** Kills a process under a running request; time from the kill to the request's whole answer. */
const recoverFrom = async (site: Site, { name, process, isRestarted }: Victim, state: string): Promise<Recovery> => {
  const prompt = `${name} ${state}`
  const addresses = [site.router('r1').address, site.router('r2').address]
  const plan = { service: SERVICE, model: MODEL, prompt, maxTokens: TOKEN_COUNT, requestKey: keyFor(prompt), deadlineMs: DEADLINE_MS }
  const sinceMark = site.rig.events.mark()
  const asked = sendUntilEnded(() => addresses, plan, GIVE_UP_MS)
  await site.rig.events.waitFor(event => event.name === 'generateStarted' && event.detail === prompt, `a run of ${prompt}`, { sinceMark })
  const killedMs = timers.nowMs()
  await process.kill()
  const restarted = isRestarted ? process.restart() : Promise.resolve()
  const { last } = await asked
  const tookMs = timers.nowMs() - killedMs
  await restarted
  if (last.kind === 'answered') return { tookMs, reason: '' }
  return { tookMs: null, reason: `; last heard: ${last.refusal?.detail ?? last.error ?? last.kind}` }
}

/** Time to the next whole answer after a kill of the engine, the agent or one of two routers, with the log up and down. */
export const measureRecovery = async (site: Site): Promise<readonly BenchRow[]> => {
  // The agent comes last: with the log down it takes longest to serve again, and nobody need wait for that.
  const victims: readonly Victim[] = [
    { name: 'router', process: site.router('r1'), isRestarted: false },
    { name: 'engine', process: site.backend('a1'), isRestarted: true },
    { name: 'agent', process: site.agent('a1'), isRestarted: true }
  ]
  const rows: BenchRow[] = []
  for (const state of ['up', 'down'] as const) {
    for (const victim of victims) {
      await expectAnswer(site, `before ${victim.name} ${state}`)
      if (state === 'down') await site.log.command({ action: 'outage', on: true })
      const { tookMs, reason } = await recoverFrom(site, victim, state)
      if (state === 'down') await site.log.command({ action: 'outage', on: false })
      if (!victim.process.isRunning()) await victim.process.restart()
      const how = victim.isRestarted ? 'started again at once' : 'the other router stays'
      rows.push({
        name: `recovery.${victim.name}.log-${state}`,
        value: tookMs,
        unit: 'ms',
        method: `SIGKILL under a request of ${TOKEN_COUNT} tokens to its whole answer, one replica, ${how}; none: not answered by sends of ${GIVE_UP_MS} ms${reason}`
      })
    }
  }
  return rows
}
