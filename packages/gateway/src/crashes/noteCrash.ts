import { GatewayEvent } from '../events.js'
import { sharedParts } from './sharedParts.js'
import { shortHash } from './shortHash.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { CrashHistory, ServerStart } from '@figmount/fleet'
import type { RoutedRequest } from '../requests/types.js'
import type { CrashNotifier } from './createCrashNotifier.js'

/** Dependencies of counting a crash. */
export interface CrashContext {
  readonly timers: TimerService
  readonly events: EventLog
  readonly crashes: CrashHistory
  readonly crashNotifier: CrashNotifier
}

/** Counts the death of a server that ran the request, and reports it to the other routers. `reason` says what proves the death. */
export const noteCrash = (context: CrashContext, { identity, caller }: RoutedRequest, start: ServerStart, brokenMs: number, reason: string): void => {
  const { timers, events, crashes, crashNotifier } = context
  const crash = { identity, start, ageMs: timers.nowMs() - brokenMs }
  crashes.note(crash)
  const answer = crashes.answerTo(identity)
  crashNotifier.notify({ crashes: [crash], answered: answer ? [answer] : [] })
  events.emit(GatewayEvent.crashCounted, {
    requestKey: caller.requestId,
    requestHash: shortHash(identity),
    promptParts: sharedParts(caller),
    peer: start.serverId,
    reason,
    count: crashes.countsOf(identity).ownCount,
    ageMs: Math.round(crash.ageMs)
  })
}
