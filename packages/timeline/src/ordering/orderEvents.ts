import type { EventRecord, InstanceName } from '@figmount/base'

/** An event with its time corrected for clock differences between instances. */
export interface TimedEvent {
  readonly event: EventRecord
  /** Unix time on a clock common to all instances. */
  readonly atMs: number
}

/** The events by which two processes recorded the sending and the receipt of one message. */
interface CausalPair {
  readonly cause: EventRecord
  readonly effect: EventRecord
}

/** Names of the events at the sender and the receiver of a message; both carry the same attempt id. */
const CAUSAL_EVENT_NAMES: ReadonlyArray<readonly [cause: string, effect: string]> = [
  ['requestSent', 'attemptQueued'],
  ['attemptFinished', 'requestAnswered'],
  ['attemptRefused', 'requestRefused']
]

const attemptKey = (event: EventRecord, name: string): string => `${name}\u0000${event.attemptId ?? ''}`

const findCausalPairs = (events: readonly EventRecord[]): readonly CausalPair[] => {
  const firstByKey = new Map<string, EventRecord>()
  for (const event of events) {
    if (!event.attemptId) continue
    const key = attemptKey(event, event.name)
    if (!firstByKey.has(key)) firstByKey.set(key, event)
  }
  const pairs: CausalPair[] = []
  for (const [causeName, effectName] of CAUSAL_EVENT_NAMES) {
    for (const cause of firstByKey.values()) {
      if (cause.name !== causeName) continue
      const effect = firstByKey.get(attemptKey(cause, effectName))
      if (effect && effect.instance !== cause.instance) pairs.push({ cause, effect })
    }
  }
  return pairs
}

/**
 * Computes a clock shift in ms per instance such that no effect precedes its cause.
 * Without it, clock differences between instances put answers before their requests. The shifts are the longest paths over
 * the violated pairs. The number of rounds is bounded by the number of instances, so the loop also ends for contradictory
 * pairs, as from a clock that was set during the run.
 */
const computeClockShifts = (events: readonly EventRecord[]): ReadonlyMap<InstanceName, number> => {
  const shifts = new Map(events.map(event => [event.instance, 0]))
  const pairs = findCausalPairs(events)
  const shifted = (event: EventRecord): number => event.atUnixMs + (shifts.get(event.instance) ?? 0)
  for (let round = 0; round < shifts.size; round++) {
    let hasChanged = false
    for (const { cause, effect } of pairs) {
      const lateMs = shifted(cause) - shifted(effect)
      if (lateMs <= 0) continue
      shifts.set(effect.instance, (shifts.get(effect.instance) ?? 0) + lateMs)
      hasChanged = true
    }
    if (!hasChanged) break
  }
  return shifts
}

/** Splits events by process and start of the process: a restarted process numbers its events from 0 again. */
const splitIncarnations = (events: readonly TimedEvent[]): ReadonlyArray<readonly TimedEvent[]> => {
  const incarnations: TimedEvent[][] = []
  const current = new Map<string, TimedEvent[]>()
  for (const timed of events) {
    const processKey = `${timed.event.role}\u0000${timed.event.instance}`
    const incarnation = current.get(processKey)
    if (incarnation && (incarnation.at(-1)?.event.sequence ?? -1) < timed.event.sequence) {
      incarnation.push(timed)
      continue
    }
    const next = [timed]
    incarnations.push(next)
    current.set(processKey, next)
  }
  return incarnations
}

/** Keeps the order in which each process wrote its events, even if its wall clock was set back during the run. */
const keepProcessOrder = (events: readonly TimedEvent[]): readonly TimedEvent[] =>
  splitIncarnations(events).flatMap(incarnation => {
    let latestMs = -Infinity
    return incarnation.map(({ event, atMs }) => {
      latestMs = Math.max(latestMs, atMs)
      return { event, atMs: latestMs }
    })
  })

const compare = (a: TimedEvent, b: TimedEvent): number =>
  a.atMs - b.atMs || a.event.clock - b.event.clock || a.event.sequence - b.event.sequence

/** Orders the events of all processes by time, corrected where clocks contradict the order of cause and effect. */
export const orderEvents = (events: readonly EventRecord[]): readonly TimedEvent[] => {
  const shifts = computeClockShifts(events)
  const timed = events.map(event => ({ event, atMs: event.atUnixMs + (shifts.get(event.instance) ?? 0) }))
  return [...keepProcessOrder(timed)].sort(compare)
}
