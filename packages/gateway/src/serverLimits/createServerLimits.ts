import { startKeyOf } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'

import type { EventLog } from '@figmount/base'
import type { ServerAnswer, ServerStart } from '@figmount/fleet'

interface Options {
  readonly events: EventLog
}

/** Limits that servers name in their answers, on requests from all routers together. */
export interface ServerLimits {
  /** Takes what an answer of the server says. */
  readonly noteAnswer: (start: ServerStart, answer: ServerAnswer) => void
}

/** Creates the record of one router. */
export const createServerLimits = ({ events }: Options): ServerLimits => {
  const limitsPerS = new Map<string, number>()

  return {
    noteAnswer: (start, { limit, isNotRun }) => {
      const startKey = startKeyOf(start)
      const known = limitsPerS.get(startKey)
      if (limit.type === 'named' && limit.requestsPerS !== known) {
        limitsPerS.set(startKey, limit.requestsPerS)
        events.emit(GatewayEvent.serverLimited, { peer: start.serverId, limitPerS: limit.requestsPerS, reason: known === undefined ? 'named' : 'changed' })
      }
      if (limit.type !== 'none' || isNotRun || known === undefined) return
      limitsPerS.delete(startKey)
      events.emit(GatewayEvent.serverLimited, { peer: start.serverId, limitPerS: known, reason: 'ended' })
    }
  }
}
