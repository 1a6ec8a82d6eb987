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

/** The agent's standing; asked before each act on a right. */
export interface AuthorityWatch {
  readonly current: () => Authority
  readonly mayLoad: () => boolean
  readonly mayPermit: () => boolean
  readonly stop: () => void
}

/** Watches for pauses of the process and judges its authority on demand. */
export const createAuthority = ({ timers, events, confirmedAtMs, listed }: Options): AuthorityWatch => {
  let lastTickMs = timers.nowMs()
  let awakeSinceMs = lastTickMs
  let told: Authority = 'none'

  // A pause can end in the middle of a turn, before the tick runs: the gap is looked at on each question too.
  const notice = (nowMs: number): void => {
    const gapMs = nowMs - lastTickMs
    lastTickMs = nowMs
    if (gapMs <= PAUSE_MS) return
    awakeSinceMs = nowMs
    events.emit(AgentEvent.pauseNoticed, { durationMs: Math.round(gapMs) })
  }

  const current = (): Authority => {
    const nowMs = timers.nowMs()
    notice(nowMs)
    const authority = judgeAuthority({ nowMs, confirmedAtMs: confirmedAtMs(), awakeSinceMs, listed: listed() })
    if (authority !== told) {
      const kind = authority === 'fresh' ? AgentEvent.authorityRegained : AgentEvent.authorityLost
      events.emit(kind, { reason: authority })
      told = authority
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
