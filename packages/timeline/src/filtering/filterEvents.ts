import type { TimedEvent } from '../ordering/orderEvents.js'

/** What to show; a field that is left out does not restrict. */
export interface EventFilter {
  readonly requestKey?: string
  readonly model?: string
  readonly instance?: string
  readonly numbers?: readonly number[]
}

/** Attempt ids of a request, so that events which name only the attempt are shown too. */
const attemptsOf = (events: readonly TimedEvent[], requestKey: string): ReadonlySet<string> => {
  const attempts = new Set<string>()
  for (const { event } of events) {
    if (event.requestKey === requestKey && event.attemptId) attempts.add(event.attemptId)
  }
  return attempts
}

/** Events that match all given fields, in unchanged order. */
export const filterEvents = (events: readonly TimedEvent[], filter: EventFilter): readonly TimedEvent[] => {
  const { requestKey, model, instance, numbers } = filter
  const attempts = requestKey === undefined ? undefined : attemptsOf(events, requestKey)
  const matches = ({ event }: TimedEvent): boolean => {
    if (attempts && event.requestKey !== requestKey && !attempts.has(event.attemptId ?? '')) return false
    if (model !== undefined && event.model !== model) return false
    if (instance !== undefined && event.instance !== instance) return false
    return numbers === undefined || numbers.includes(event.number)
  }
  return events.filter(matches)
}
