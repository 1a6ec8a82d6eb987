import type { TimedEvent } from '../ordering/orderEvents.js'

/** Which events to show; an omitted field does not restrict the result. */
export interface EventFilter {
  readonly requestKey?: string
  readonly model?: string
  readonly instance?: string
  readonly numbers?: readonly number[]
}

/** Finds the attempt ids of a request, so that events that carry only the attempt id are included. */
const findAttemptIds = (events: readonly TimedEvent[], requestKey: string): ReadonlySet<string> => {
  const attemptIds = new Set<string>()
  for (const { event } of events) {
    if (event.requestKey === requestKey && event.attemptId) attemptIds.add(event.attemptId)
  }
  return attemptIds
}

/** Returns the events that match all given fields, in unchanged order. */
export const filterEvents = (events: readonly TimedEvent[], filter: EventFilter): readonly TimedEvent[] => {
  const { requestKey, model, instance, numbers } = filter
  const attemptIds = requestKey === undefined ? undefined : findAttemptIds(events, requestKey)
  const matches = ({ event }: TimedEvent): boolean => {
    if (attemptIds && event.requestKey !== requestKey && !attemptIds.has(event.attemptId ?? '')) return false
    if (model !== undefined && event.model !== model) return false
    if (instance !== undefined && event.instance !== instance) return false
    return numbers === undefined || numbers.includes(event.number)
  }
  return events.filter(matches)
}
