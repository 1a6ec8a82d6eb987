import { runInBackground } from '@figmount/base'
import { isSameStart } from '@figmount/fleet'

import { SidecarEvent } from '../events.js'
import { ASK_PERIOD_MS, ASK_TIMEOUT_MS, GONE_COUNT } from './constants.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { EnginePort, ServerStart } from '@figmount/fleet'

interface Options {
  readonly engine: EnginePort
  readonly timers: TimerService
  readonly events: EventLog
  /** Undefined until the configuration is known. */
  readonly healthPath: () => string | undefined
  readonly changed: () => void
}

/** Which start of its engine an agent acts on. */
export interface Identity {
  /** Its id is empty while it is not known. */
  readonly current: () => ServerStart
  /** Starts that are gone, the newest last. */
  readonly gone: () => readonly ServerStart[]
  /** Asks the engine for its id unless it is known; the time of its start is by its newest report. */
  readonly learn: (startedAtUnixMs: number | undefined) => void
  /** The engine has restarted, or does not answer. */
  readonly drop: (reason: string) => void
}

const UNKNOWN: ServerStart = { serverId: '', startedAtUnixMs: undefined }

/**
 * Guards against an id from before the engine's restart: the platform lists it for seconds, routers pass it on, and
 * every order and request under it is turned away. The engine alone knows its id, so it is asked once after each start.
 * The id may be the one that the start before had: the engine's own time of its start tells the two apart.
 */
export const createIdentity = ({ engine, timers, events, healthPath, changed }: Options): Identity => {
  let start = UNKNOWN
  let gone: readonly ServerStart[] = []
  let askedMs = -Infinity
  let isAsking = false
  let dropCount = 0

  const adopt = (actual: ServerStart): void => {
    start = actual
    // An engine that was silent for a while and has not restarted is not gone after all.
    gone = gone.filter(known => !isSameStart(known, actual))
    events.emit(SidecarEvent.engineNamed, { peer: actual.serverId })
    changed()
  }

  const ask = async (path: string, startedAtUnixMs: number | undefined): Promise<void> => {
    const askedAfter = dropCount
    isAsking = true
    const result = await engine.readServerId(path, ASK_TIMEOUT_MS).run()
    // An answer to a question from before a restart may come from the start that has gone.
    if (askedAfter !== dropCount) return
    isAsking = false
    result.caseOf({
      Left: fault => { events.emit(SidecarEvent.engineUnnamed, { step: fault.step, peer: fault.peer, reason: fault.message }) },
      Right: serverId => { if (start.serverId === '') adopt({ serverId, startedAtUnixMs }) }
    })
  }

  return {
    current: () => start,
    gone: () => gone,
    learn: startedAtUnixMs => {
      const path = healthPath()
      const nowMs = timers.nowMs()
      if (start.serverId !== '' || path === undefined || nowMs - askedMs < ASK_PERIOD_MS) return
      askedMs = nowMs
      runInBackground(events, 'identity.ask', ask(path, startedAtUnixMs))
    },
    drop: reason => {
      if (start.serverId === '' && !isAsking) return
      dropCount += 1
      isAsking = false
      askedMs = -Infinity
      if (start.serverId === '') return
      events.emit(SidecarEvent.engineForgotten, { peer: start.serverId, reason })
      gone = [...gone, start].slice(-GONE_COUNT)
      start = UNKNOWN
      changed()
    }
  }
}
