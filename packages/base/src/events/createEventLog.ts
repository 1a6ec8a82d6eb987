import createDebug from 'debug'

import { RECENT_EVENT_COUNT } from './constants.js'

import type { InstanceName } from '../ids/types.js'
import type { TimerService } from '../timers/types.js'
import type { EventLog, EventRecord } from './types.js'

interface Options {
  readonly instance: InstanceName
  readonly role: string
  readonly timers: TimerService
  /** Receives each event as one line of JSON. If omitted, events are only written to `debug`. */
  readonly writeLine?: (line: string) => void
}

/** Creates the event log of one process. */
export const createEventLog = ({ instance, role, timers, writeLine }: Options): EventLog => {
  const debug = createDebug(`figmount:${role}`)
  const listeners = new Set<(event: EventRecord) => void>()
  const recentEvents: EventRecord[] = []
  let sequence = 0
  let clock = 0

  const store = (event: EventRecord): void => {
    recentEvents[event.sequence % RECENT_EVENT_COUNT] = event
  }

  return {
    emit: (kind, fields = {}) => {
      clock += 1
      const event: EventRecord = {
        number: kind.number, name: kind.name, instance, role, sequence, clock, atUnixMs: timers.unixMs(), ...fields
      }
      sequence += 1
      store(event)
      writeLine?.(JSON.stringify(event))
      if (debug.enabled) debug('%d %s %o', kind.number, kind.name, fields)
      for (const listen of listeners) listen(event)
    },
    tick: () => ++clock,
    witness: seen => { clock = Math.max(clock, seen) + 1 },
    recent: () => [...recentEvents].sort((a, b) => a.sequence - b.sequence),
    subscribe: listen => {
      listeners.add(listen)
      return () => { listeners.delete(listen) }
    }
  }
}
