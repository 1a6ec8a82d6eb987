import { sleep } from '@figmount/base'

import { GatewayEvent } from '../events.js'
import { DRAIN_CHECK_PERIOD_MS, LAST_ANSWERS_MS } from './constants.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { Ingress } from '../ingress/startIngress.js'
import type { RouterStop } from './types.js'

interface Options {
  readonly stop: RouterStop
  readonly ingress: Ingress
  readonly timers: TimerService
  readonly events: EventLog
}

/** Takes no new requests after a while and lets the open ones end; those that don't get their final answer at the stop's end. */
export const drain = async ({ stop, ingress, timers, events }: Options): Promise<void> => {
  const waitUntilEmpty = async (waitMs: number): Promise<void> => {
    const untilMs = timers.nowMs() + waitMs
    while (ingress.openCount() > 0 && timers.nowMs() < untilMs) {
      await sleep(timers, DRAIN_CHECK_PERIOD_MS)
      ingress.closeIdle()
    }
  }

  stop.ask()
  ingress.endConnections()
  await sleep(timers, stop.closingInMs())
  // Guards against requests that come in the last seconds, as callers of a data centre with one router have nowhere else to
  // go: a stream taken then is cut when the process must end. New connections are turned away by the system and requests
  // on open ones by a refusal; both are free to go elsewhere.
  ingress.stopListening()
  ingress.closeIdle()
  await waitUntilEmpty(stop.endsInMs())
  if (ingress.openCount() > 0) events.emit(GatewayEvent.requestsCutShort, { count: ingress.openCount() })
  stop.end()
  await waitUntilEmpty(LAST_ANSWERS_MS)
  if (ingress.openCount() > 0) events.emit(GatewayEvent.requestsUnanswered, { count: ingress.openCount() })
  ingress.close()
}
