import type { EventRecord } from '@figmount/base'
import type { TimedEvent } from '../ordering/orderEvents.js'

const HEADER_FIELDS: ReadonlySet<string> = new Set(['number', 'name', 'instance', 'role', 'sequence', 'clock', 'atUnixMs'])
const MS_PER_SECOND = 1000
const SECONDS_WIDTH = 10
const NAME_WIDTH = 24

/** Formats the fields that are not in HEADER_FIELDS as `key=value`. */
export const formatFields = (event: EventRecord): string => {
  const parts: string[] = []
  for (const [key, value] of Object.entries(event)) {
    if (!HEADER_FIELDS.has(key)) parts.push(`${key}=${String(value)}`)
  }
  return parts.join(' ')
}

/** Renders one line per event: seconds since the first event, instance, number, name, fields. */
export const renderText = (events: readonly TimedEvent[]): readonly string[] => {
  const startMs = events[0]?.atMs ?? 0
  const instanceWidth = Math.max(0, ...events.map(({ event }) => event.instance.length))
  return events.map(({ event, atMs }) => {
    const seconds = ((atMs - startMs) / MS_PER_SECOND).toFixed(3).padStart(SECONDS_WIDTH)
    return `${seconds}  ${event.instance.padEnd(instanceWidth)}  ${event.number} ${event.name.padEnd(NAME_WIDTH)} ${formatFields(event)}`.trimEnd()
  })
}
