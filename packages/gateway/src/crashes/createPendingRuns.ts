import { startKeyOf } from '@figmount/fleet'

import type { TimerService } from '@figmount/base'
import type { ServerStart } from '@figmount/fleet'

/** A run that a server has not ended yet. */
export interface PendingRun {
  /** Time since which the server had sent nothing, although another run was pending, as this run was sent; 0 if none was. */
  readonly silentForMs: number
  readonly end: () => void
}

/** Own runs that servers have not ended, by start of the server. */
export interface PendingRuns {
  readonly add: (start: ServerStart) => PendingRun
  /** The server has sent an answer, or the head of one. */
  readonly noteAlive: (start: ServerStart) => void
}

interface ServerRuns {
  /** Times at which the runs were sent, oldest first. */
  readonly sentMs: Map<symbol, number>
  aliveMs: number
}

/**
 * Creates the record of one router.
 *
 * Guards against blaming a request for the death of a server that had been silent before the request was sent.
 */
export const createPendingRuns = (timers: TimerService): PendingRuns => {
  const servers = new Map<string, ServerRuns>()

  const silentForMs = ({ sentMs, aliveMs }: ServerRuns): number => {
    const [oldestMs] = sentMs.values()
    return oldestMs === undefined ? 0 : timers.nowMs() - Math.max(oldestMs, aliveMs)
  }

  return {
    add: start => {
      const startKey = startKeyOf(start)
      const runs = servers.get(startKey) ?? { sentMs: new Map<symbol, number>(), aliveMs: -Infinity }
      servers.set(startKey, runs)
      const silentMs = silentForMs(runs)
      const run = Symbol('run')
      runs.sentMs.set(run, timers.nowMs())
      const end = (): void => {
        runs.sentMs.delete(run)
        if (runs.sentMs.size === 0) servers.delete(startKey)
      }
      return { silentForMs: silentMs, end }
    },
    noteAlive: start => {
      const runs = servers.get(startKeyOf(start))
      if (runs) runs.aliveMs = timers.nowMs()
    }
  }
}
