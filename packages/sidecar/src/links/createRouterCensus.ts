import { ROUTER_RETENTION_MS } from '@figmount/decisions'

import type { TimerService } from '@figmount/base'

/** The routers that are linked to an agent, or were a short while ago. */
export interface RouterCensus {
  readonly noteLinked: (router: string) => void
  readonly noteLost: (router: string) => void
  readonly count: () => number
}

/**
 * Creates the census of one agent.
 *
 * Guards against routers that use more than their part of a limit because others are cut off, or start again, and are not linked now.
 */
export const createRouterCensus = (timers: TimerService): RouterCensus => {
  const linked = new Map<string, number>()
  const lostMs = new Map<string, number>()

  return {
    noteLinked: router => {
      linked.set(router, (linked.get(router) ?? 0) + 1)
      lostMs.delete(router)
    },
    noteLost: router => {
      const linkCount = (linked.get(router) ?? 0) - 1
      if (linkCount > 0) {
        linked.set(router, linkCount)
        return
      }
      linked.delete(router)
      lostMs.set(router, timers.nowMs())
    },
    count: () => {
      for (const [router, atMs] of lostMs) {
        if (timers.nowMs() - atMs > ROUTER_RETENTION_MS) lostMs.delete(router)
      }
      return linked.size + lostMs.size
    }
  }
}
