import { LAG_TOLERANCE_MS } from './constants.js'

import type { LogOffset, TimerService } from '@figmount/base'
import type { AgentToRouterMessage, Link, RouterToAgentMessage } from '@figmount/peers'

export type RouterLink = Link<AgentToRouterMessage, RouterToAgentMessage>

interface Lag {
  readonly sinceMs: number
  readonly askedAtMs: number
}

/** The open connections from routers. */
export interface LinkRegistry {
  readonly add: (link: RouterLink) => void
  readonly remove: (link: RouterLink) => void
  readonly sendAll: (message: AgentToRouterMessage) => void
  readonly closeAll: (reason: string) => void
  readonly count: () => number
  readonly bufferedBytes: () => number
  /** Records a peer's log offset, and requests its records if it stays ahead. */
  readonly notePeerOffset: (peer: string, offset: LogOffset) => void
  /** The highest log offset reported by a peer. */
  readonly highestOffset: () => LogOffset
}

/** Creates the registry of open links. */
export const createLinkRegistry = (timers: TimerService, ownOffset: () => LogOffset): LinkRegistry => {
  const links = new Set<RouterLink>()
  let lag: Lag | undefined
  let highest = ownOffset()

  const requestRecords = (peer: string, fromOffset: LogOffset): void => {
    for (const link of links) {
      if (link.peer !== peer) continue
      link.send({ type: 'records.ask', fromOffset })
      return
    }
  }

  return {
    add: link => { links.add(link) },
    remove: link => { links.delete(link) },
    sendAll: message => { for (const link of links) link.send(message) },
    closeAll: reason => { for (const link of [...links]) link.close(reason) },
    count: () => links.size,
    bufferedBytes: () => [...links].reduce((sum, link) => sum + link.bufferedBytes(), 0),
    highestOffset: () => highest,
    notePeerOffset: (peer, offset) => {
      const own = ownOffset()
      if (offset > highest) highest = offset
      if (highest <= own) {
        lag = undefined
        return
      }
      if (offset <= own) return
      const nowMs = timers.nowMs()
      lag ??= { sinceMs: nowMs, askedAtMs: nowMs }
      if (nowMs - lag.sinceMs < LAG_TOLERANCE_MS || nowMs - lag.askedAtMs < LAG_TOLERANCE_MS) return
      lag = { ...lag, askedAtMs: nowMs }
      requestRecords(peer, own)
    }
  }
}
