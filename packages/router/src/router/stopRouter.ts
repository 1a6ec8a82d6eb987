import { sleep } from '@figmount/base'

import { RouterEvent } from '../events.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { Gate } from '../callers/createGate.js'
import type { RouterSettings } from '../settings/types.js'

interface Options {
  readonly settings: RouterSettings['stop']
  readonly gate: Gate
  readonly timers: TimerService
  readonly events: EventLog
  /** Announces to other routers that this one is leaving. */
  readonly announce: () => void
}

/**
 * Drains a router without interrupting requests: announces that it is leaving, continues to serve
 * until the load balancer has noticed, then refuses new requests and lets running ones finish.
 */
export const stopRouter = async ({ settings, gate, timers, events, announce }: Options): Promise<void> => {
  events.emit(RouterEvent.drainBegun, { count: gate.count() })
  announce()
  await sleep(timers, settings.lame_duck_ms)
  gate.close()
  await gate.whenEmpty(settings.drain_ms)
  events.emit(RouterEvent.drainEnded, { count: gate.count() })
}
