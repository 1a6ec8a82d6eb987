import { AgentEvent } from '../events.js'
import { PAUSE_MS, PAUSE_TICK_MS } from './constants.js'
import { judgeAuthority } from './judgeAuthority.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { Authority, AuthorityView } from './judgeAuthority.js'

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly confirmedAtMs: () => number
  readonly listed: () => AuthorityView['listed']
}

/** Whether the agent may act on its rights; checked before each such action. */
export interface AuthorityWatch {
  readonly current: () => Authority
  readonly mayLoad: () => boolean
  readonly mayPermit: () => boolean
  readonly stop: () => void
}

/** Detects pauses of the process and evaluates its authority on demand. */
export const createAuthority = ({ timers, events, confirmedAtMs, listed }: Options): AuthorityWatch => {
  let lastTickMs = timers.nowMs()
  let runningSinceMs = lastTickMs
  let lastReported: Authority = 'none'

  // A pause can end in the middle of a turn, before the tick runs, so the gap is also checked on each evaluation.
  const detectPause = (nowMs: number): void => {
    const gapMs = nowMs - lastTickMs
    lastTickMs = nowMs
    if (gapMs <= PAUSE_MS) return
    runningSinceMs = nowMs
    events.emit(AgentEvent.pauseNoticed, { durationMs: Math.round(gapMs) })
  }

  const current = (): Authority => {
    const nowMs = timers.nowMs()
    detectPause(nowMs)
    const authority = judgeAuthority({ nowMs, confirmedAtMs: confirmedAtMs(), runningSinceMs, listed: listed() })
    if (authority !== lastReported) {
      const kind = authority === 'fresh' ? AgentEvent.authorityRegained : AgentEvent.authorityLost
      events.emit(kind, { reason: authority })
      lastReported = authority
    }
    return authority
  }

  const stop = timers.every(PAUSE_TICK_MS, current)
  return {
    current,
    mayLoad: () => current() !== 'none',
    mayPermit: () => current() === 'fresh',
    stop
  }
}
