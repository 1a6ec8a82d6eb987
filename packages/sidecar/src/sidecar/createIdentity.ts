import { runInBackground } from '@figmount/base'

import { SidecarEvent } from '../events.js'
import { ASK_PERIOD_MS, ASK_TIMEOUT_MS, GONE_COUNT } from './constants.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { EnginePort } from '@figmount/fleet'

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
  /** Empty while it is not known. */
  readonly current: () => string
  /** Starts that are gone, the newest last. */
  readonly gone: () => readonly string[]
  /** Asks the engine for its id unless it is known. */
  readonly learn: () => void
  /** The id is of a start that has gone. */
  readonly drop: (reason: string) => void
}

/**
 * Guards against an id from before the engine's restart: the platform lists it for seconds, routers pass it on, and
 * every order and request under it is turned away. The engine alone knows its id, so it is asked once after each start.
 */
export const createIdentity = ({ engine, timers, events, healthPath, changed }: Options): Identity => {
  let serverId = ''
  let gone: readonly string[] = []
  let askedMs = -Infinity

  const adopt = (actual: string): void => {
    if (actual === serverId || gone.includes(actual)) return
    serverId = actual
    events.emit(SidecarEvent.engineNamed, { peer: actual })
    changed()
  }

  const ask = async (path: string): Promise<void> => {
    const result = await engine.readServerId(path, ASK_TIMEOUT_MS).run()
    result.caseOf({
      Left: fault => { events.emit(SidecarEvent.engineUnnamed, { step: fault.step, peer: fault.peer, reason: fault.message }) },
      Right: adopt
    })
  }

  return {
    current: () => serverId,
    gone: () => gone,
    learn: () => {
      const path = healthPath()
      const nowMs = timers.nowMs()
      if (serverId !== '' || path === undefined || nowMs - askedMs < ASK_PERIOD_MS) return
      askedMs = nowMs
      runInBackground(events, 'identity.ask', ask(path))
    },
    drop: reason => {
      if (serverId === '') return
      events.emit(SidecarEvent.engineForgotten, { peer: serverId, reason })
      gone = [...gone, serverId].slice(-GONE_COUNT)
      serverId = ''
      askedMs = -Infinity
      changed()
    }
  }
}
