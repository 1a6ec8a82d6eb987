import { ROUTER_RETENTION_MS } from '@figmount/decisions'

import type { TimerService } from '@figmount/base'

/** The routers that are linked to an agent, or were a short while ago. */
export interface RouterCensus {
  /** A link of the router has ended; it may have another one. */
  readonly noteLost: (router: string) => void
  readonly count: () => number
}

/**
 * Creates the census of one agent. `linkedRouters` names the router of each open link.
 *
 * Guards against routers that use more than their part of a limit because others are cut off, or start again, and are not linked now.
 */
export const createRouterCensus = (timers: TimerService, linkedRouters: () => Iterable<string>): RouterCensus => {
  const lostMs = new Map<string, number>()

  return {
    noteLost: router => { lostMs.set(router, timers.nowMs()) },
    count: () => {
      for (const [router, atMs] of lostMs) {
        if (timers.nowMs() - atMs > ROUTER_RETENTION_MS) lostMs.delete(router)
      }
      // A router has two links while an earlier one, which has gone silent, is still open.
      return new Set([...linkedRouters(), ...lostMs.keys()]).size
    }
  }
}
