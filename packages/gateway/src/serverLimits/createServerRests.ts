import { beginProbe, extendRest, restLeftMs } from '@figmount/decisions'
import { startKeyOf } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'
import { MAX_LIMITED } from './constants.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { ServerRest } from '@figmount/decisions'
import type { ServerStart } from '@figmount/fleet'

/** Rests that servers have asked this router for as they turned its requests away. They hold for this router alone. */
export interface ServerRests {
  /** The server has turned a request away and wants none for `restMs`. */
  readonly noteAsked: (start: ServerStart, restMs: number) => void
  /** The server has answered without asking for rest. */
  readonly noteAnswered: (start: ServerStart) => void
  readonly noteSent: (start: ServerStart) => void
  /** Time until the server may get a request; 0 at once. */
  readonly leftMs: (start: ServerStart) => number
}

/** Creates the rests of one router. */
export const createServerRests = (timers: TimerService, events: EventLog): ServerRests => {
  const rests = new Map<string, ServerRest>()

  const restOf = (start: ServerStart): ServerRest | undefined => rests.size === 0 ? undefined : rests.get(startKeyOf(start))

  const trim = (): void => {
    for (const [startKey, rest] of rests) {
      if (rests.size <= MAX_LIMITED) return
      if (restLeftMs(rest, timers.nowMs()) === 0) rests.delete(startKey)
    }
  }

  return {
    noteAsked: (start, restMs) => {
      const rest = extendRest(restOf(start), restMs, timers.nowMs())
      trim()
      rests.set(startKeyOf(start), rest)
      events.emit(GatewayEvent.serverRests, { peer: start.serverId, waitMs: Math.round(restLeftMs(rest, timers.nowMs())) })
    },
    noteAnswered: start => {
      const rest = restOf(start)
      // An answer to a request that was sent before the rest does not end it.
      if (rest && timers.nowMs() >= rest.untilMs) rests.delete(startKeyOf(start))
    },
    noteSent: start => {
      const rest = restOf(start)
      if (rest) rests.set(startKeyOf(start), beginProbe(rest, timers.nowMs()))
    },
    leftMs: start => {
      const rest = restOf(start)
      return rest ? restLeftMs(rest, timers.nowMs()) : 0
    }
  }
}
