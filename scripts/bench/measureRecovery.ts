import { createTimerService } from '@figmount/base'
import { sendUntilEnded } from '@figmount/proof'

import { MODEL, SERVICE } from './constants.js'

import type { RigProcess, Site } from '@figmount/proof'
import type { BenchRow } from './types.js'

/** Time after which the caller stops resending. A pending send may still be answered; otherwise the case counts as not recovered. */
const GIVE_UP_MS = 10_000
const DEADLINE_MS = 5000
const TOKEN_COUNT = 50

const timers = createTimerService()

interface Target {
  readonly name: string
  readonly process: RigProcess
  /** True if the bench restarts the process at once, as a supervisor would. */
  readonly isRestarted: boolean
}

interface Recovery {
  /** null if the request was not answered. */
  readonly tookMs: number | null
  /** The caller's last result if the request was not answered. */
  readonly reason: string
}

/** Returns a request key whose first send goes to the first router. */
const makeFirstRouterKey = (prompt: string): string => `a-${prompt}-a`

const expectAnswer = async (site: Site, prompt: string): Promise<void> => {
  const { last } = await sendUntilEnded(site.routerAddresses, { service: SERVICE, model: MODEL, prompt, maxTokens: 1 })
  if (last.kind !== 'answered') throw new Error(`request between two recovery cases ended as ${last.kind}, expected an answer`)
}

/** Kills a process during a request; measures the time from the kill to the complete answer. */
const measureKill = async (site: Site, { name, process, isRestarted }: Target, state: string): Promise<Recovery> => {
  const prompt = `${name} ${state}`
  const addresses = [site.router('r1').address, site.router('r2').address]
  const plan = { service: SERVICE, model: MODEL, prompt, maxTokens: TOKEN_COUNT, requestKey: makeFirstRouterKey(prompt), deadlineMs: DEADLINE_MS }
  const sinceMark = site.rig.events.mark()
  const pendingOutcome = sendUntilEnded(() => addresses, plan, GIVE_UP_MS)
  await site.rig.events.waitFor(event => event.name === 'generateStarted' && event.detail === prompt, `a run of ${prompt}`, { sinceMark })
  const killedAtMs = timers.nowMs()
  await process.kill()
  const restarted = isRestarted ? process.restart() : Promise.resolve()
  const { last } = await pendingOutcome
  const tookMs = timers.nowMs() - killedAtMs
  await restarted
  if (last.kind === 'answered') return { tookMs, reason: '' }
  return { tookMs: null, reason: `; last result: ${last.refusal?.detail ?? last.error ?? last.kind}` }
}

/** Measures recovery after a kill of the engine, the agent or one of two routers, with the log available and unavailable. */
export const measureRecovery = async (site: Site): Promise<readonly BenchRow[]> => {
  // The agent comes last: with the log unavailable it recovers slowest, and no further case has to wait for it.
  const targets: readonly Target[] = [
    { name: 'router', process: site.router('r1'), isRestarted: false },
    { name: 'engine', process: site.backend('a1'), isRestarted: true },
    { name: 'agent', process: site.agent('a1'), isRestarted: true }
  ]
  const rows: BenchRow[] = []
  for (const state of ['up', 'down'] as const) {
    for (const target of targets) {
      await expectAnswer(site, `before ${target.name} ${state}`)
      if (state === 'down') await site.log.command({ action: 'outage', on: true })
      const { tookMs, reason } = await measureKill(site, target, state)
      if (state === 'down') await site.log.command({ action: 'outage', on: false })
      if (!target.process.isRunning()) await target.process.restart()
      const method = target.isRestarted ? 'started again at once' : 'the other router stays'
      rows.push({
        name: `recovery.${target.name}.log-${state}`,
        value: tookMs,
        unit: 'ms',
        method: `SIGKILL under a request of ${TOKEN_COUNT} tokens to its whole answer, one replica, ${method}; none: not answered by sends of ${GIVE_UP_MS} ms${reason}`
      })
    }
  }
  return rows
}
