import type { EventRecord, InstanceName } from '@figmount/base'

/** An event with its time corrected for differing clocks. */
export interface TimedEvent {
  readonly event: EventRecord
  /** Unix time on the common clock. */
  readonly atMs: number
}

/** A message that one process sent and another received, seen as two events. */
interface CausalPair {
  readonly cause: EventRecord
  readonly effect: EventRecord
}

/** Events that stand for the two ends of one message, by name, joined by their attempt id. */
const MESSAGE_ENDS: ReadonlyArray<readonly [cause: string, effect: string]> = [
  ['requestSent', 'attemptQueued'],
  ['attemptFinished', 'requestAnswered'],
  ['attemptRefused', 'requestRefused']
]

const attemptKey = (event: EventRecord, name: string): string => `${name}\u0000${event.attemptId ?? ''}`

const findPairs = (events: readonly EventRecord[]): readonly CausalPair[] => {
  const firstByKey = new Map<string, EventRecord>()
  for (const event of events) {
    if (!event.attemptId) continue
    const key = attemptKey(event, event.name)
    if (!firstByKey.has(key)) firstByKey.set(key, event)
  }
  const pairs: CausalPair[] = []
  for (const [causeName, effectName] of MESSAGE_ENDS) {
    for (const cause of firstByKey.values()) {
      if (cause.name !== causeName) continue
      const effect = firstByKey.get(attemptKey(cause, effectName))
      if (effect && effect.instance !== cause.instance) pairs.push({ cause, effect })
    }
  }
  return pairs
}

/**
 * Clock shift in ms for each instance so that no effect comes before its cause.
 * Guards against differing clocks, which show as answers before their questions. The shifts
 * are the longest paths over the violated pairs; rounds are bounded by the number of
 * instances, so that contradictory pairs (a clock that was set during the run) still end.
 */
const findShifts = (events: readonly EventRecord[]): ReadonlyMap<InstanceName, number> => {
  const shifts = new Map(events.map(event => [event.instance, 0]))
  const pairs = findPairs(events)
  const shifted = (event: EventRecord): number => event.atUnixMs + (shifts.get(event.instance) ?? 0)
  for (let round = 0; round < shifts.size; round++) {
    let changed = false
    for (const { cause, effect } of pairs) {
      const lateMs = shifted(cause) - shifted(effect)
      if (lateMs <= 0) continue
      shifts.set(effect.instance, (shifts.get(effect.instance) ?? 0) + lateMs)
      changed = true
    }
    if (!changed) break
  }
  return shifts
}

/** Events of each life of each process, in the order in which it wrote them: a restarted one counts from 0 again. */
const splitLives = (events: readonly TimedEvent[]): ReadonlyArray<readonly TimedEvent[]> => {
  const lives: TimedEvent[][] = []
  const current = new Map<string, TimedEvent[]>()
  for (const timed of events) {
    const process = `${timed.event.role}\u0000${timed.event.instance}`
    const life = current.get(process)
    if (life && (life.at(-1)?.event.sequence ?? -1) < timed.event.sequence) {
      life.push(timed)
      continue
    }
    const next = [timed]
    lives.push(next)
    current.set(process, next)
  }
  return lives
}

/** Keeps each process's own order even where its wall clock was set back during the run. */
const inOwnOrder = (events: readonly TimedEvent[]): readonly TimedEvent[] =>
  splitLives(events).flatMap(life => {
    let latestMs = -Infinity
    return life.map(({ event, atMs }) => {
      latestMs = Math.max(latestMs, atMs)
      return { event, atMs: latestMs }
    })
  })

const compare = (a: TimedEvent, b: TimedEvent): number =>
  a.atMs - b.atMs || a.event.clock - b.event.clock || a.event.sequence - b.event.sequence

/** Puts the events of all processes on one time line, by cause where clocks differ. */
export const orderEvents = (events: readonly EventRecord[]): readonly TimedEvent[] => {
  const shifts = findShifts(events)
  const timed = events.map(event => ({ event, atMs: event.atUnixMs + (shifts.get(event.instance) ?? 0) }))
  return [...inOwnOrder(timed)].sort(compare)
}
