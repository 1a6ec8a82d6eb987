import { runInBackground } from '@figmount/base'
import { isSameStart } from '@figmount/fleet'

import { SidecarEvent } from '../events.js'
import { ID_QUERY_PERIOD_MS, ID_QUERY_TIMEOUT_MS, MAX_GONE_STARTS } from './constants.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { EnginePort, ServerStart } from '@figmount/fleet'

interface Options {
  readonly engine: EnginePort
  readonly timers: TimerService
  readonly events: EventLog
  /** Returns undefined until the agent has a configuration. */
  readonly healthPath: () => string | undefined
  readonly changed: () => void
}

/** The start of the engine that an agent acts on. */
export interface Identity {
  /** The current start; its id is empty while unknown. */
  readonly current: () => ServerStart
  /** Starts that have ended, the newest last. */
  readonly gone: () => readonly ServerStart[]
  /** Queries the engine's id unless it is known. The argument is the start time from the engine's newest report. */
  readonly identify: (startedAtUnixMs: number | undefined) => void
  /** Forgets the id because the engine has restarted or does not answer. */
  readonly drop: (reason: string) => void
}

const UNKNOWN: ServerStart = { serverId: '', startedAtUnixMs: undefined }

/**
 * Guards against an id from before the engine's restart: the platform lists it for seconds, routers relay it, and every order
 * and request under it is rejected. Only the engine has its current id, so the agent queries it once after each start.
 * A new start may have the same id as the one before; the engine's own start time distinguishes the two.
 */
export const createIdentity = ({ engine, timers, events, healthPath, changed }: Options): Identity => {
  let start = UNKNOWN
  let gone: readonly ServerStart[] = []
  let lastQueryMs = -Infinity
  let isQuerying = false
  let dropCount = 0

  const adopt = (actual: ServerStart): void => {
    start = actual
    // An engine that did not answer for a while but has not restarted is not gone.
    gone = gone.filter(known => !isSameStart(known, actual))
    events.emit(SidecarEvent.engineNamed, { peer: actual.serverId })
    changed()
  }

  const queryServerId = async (path: string, startedAtUnixMs: number | undefined): Promise<void> => {
    const dropCountAtQuery = dropCount
    isQuerying = true
    const result = await engine.readServerId(path, ID_QUERY_TIMEOUT_MS).run()
    // The answer to a query from before a restart may come from the start that is gone.
    if (dropCountAtQuery !== dropCount) return
    isQuerying = false
    result.caseOf({
      Left: fault => { events.emit(SidecarEvent.engineUnnamed, { step: fault.step, peer: fault.peer, reason: fault.message }) },
      Right: serverId => { if (start.serverId === '') adopt({ serverId, startedAtUnixMs }) }
    })
  }

  return {
    current: () => start,
    gone: () => gone,
    identify: startedAtUnixMs => {
      const path = healthPath()
      const nowMs = timers.nowMs()
      if (start.serverId !== '' || path === undefined || nowMs - lastQueryMs < ID_QUERY_PERIOD_MS) return
      lastQueryMs = nowMs
      runInBackground(events, 'identity.ask', queryServerId(path, startedAtUnixMs))
    },
    drop: reason => {
      if (start.serverId === '' && !isQuerying) return
      dropCount += 1
      isQuerying = false
      lastQueryMs = -Infinity
      if (start.serverId === '') return
      events.emit(SidecarEvent.engineForgotten, { peer: start.serverId, reason })
      gone = [...gone, start].slice(-MAX_GONE_STARTS)
      start = UNKNOWN
      changed()
    }
  }
}
