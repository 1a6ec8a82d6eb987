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

/** Runs a router's stop: takes no new requests after a while and lets open ones finish; the rest get their final answer at its end. */
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
  // Guards against a stream that is taken in the last seconds and cut off when the process must end. In a data centre with one router
  // callers keep sending to it while it listens. Once it does not, the system rejects new connections and requests on open ones are
  // refused; both may be sent elsewhere.
  ingress.stopListening()
  ingress.closeIdle()
  await waitUntilEmpty(stop.endsInMs())
  if (ingress.openCount() > 0) events.emit(GatewayEvent.requestsCutShort, { count: ingress.openCount() })
  stop.end()
  await waitUntilEmpty(LAST_ANSWERS_MS)
  if (ingress.openCount() > 0) events.emit(GatewayEvent.requestsUnanswered, { count: ingress.openCount() })
  ingress.close()
}
