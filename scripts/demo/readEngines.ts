import { StandinEvent } from '@figmount/standin'

import { coveredMs } from './intervals.js'

import type { EventKind, EventRecord } from '@figmount/base'
import type { Interval } from './intervals.js'

/** A span of time that belongs to a model on one engine. */
export interface ModelInterval extends Interval {
  readonly model: string
  readonly instance: string
}

interface IntervalRule {
  readonly begins: readonly EventKind[]
  readonly ends: readonly EventKind[]
  readonly keyOf: (event: EventRecord) => string
}

const isKind = (event: EventRecord, kinds: readonly EventKind[]): boolean => kinds.some(kind => kind.number === event.number)

/** Pairs the events that begin and end something; what has not ended ends with the run. */
const intervalsBy = (events: readonly EventRecord[], rule: IntervalRule): readonly ModelInterval[] => {
  const open = new Map<string, EventRecord>()
  const intervals: ModelInterval[] = []
  const close = (key: string, toMs: number): void => {
    const begin = open.get(key)
    if (!begin) return
    open.delete(key)
    intervals.push({ model: begin.model ?? '', instance: begin.instance, fromMs: begin.atUnixMs, toMs })
  }
  for (const event of events) {
    if (isKind(event, rule.begins)) open.set(rule.keyOf(event), event)
    if (isKind(event, rule.ends)) close(rule.keyOf(event), event.atUnixMs)
    if (event.name !== 'processExited') continue
    for (const [key, begin] of open) {
      if (begin.instance === event.instance) close(key, event.atUnixMs)
    }
  }
  for (const key of [...open.keys()]) close(key, events.at(-1)?.atUnixMs ?? 0)
  return intervals
}

const perModel = (event: EventRecord): string => `${event.instance} ${event.model}`
const perStream = (event: EventRecord): string => `${event.instance} ${event.attemptId}`

/** Loads that came to an end. */
export const loadIntervals = (events: readonly EventRecord[]): readonly ModelInterval[] => intervalsBy(events, {
  begins: [StandinEvent.loadStarted], ends: [StandinEvent.loadFinished, StandinEvent.loadFailed], keyOf: perModel
})

/** Seconds in which an accelerator held a model and ran nothing, over all engines. */
export const idleAcceleratorSeconds = (events: readonly EventRecord[]): number => {
  const resident = intervalsBy(events, { begins: [StandinEvent.loadFinished], ends: [StandinEvent.modelUnloaded], keyOf: perModel })
  const running = intervalsBy(events, { begins: [StandinEvent.generateStarted], ends: [StandinEvent.generateFinished, StandinEvent.generateEnded], keyOf: perStream })
  const engines = new Set(resident.map(interval => interval.instance))
  let idleMs = 0
  for (const engine of engines) {
    const heldMs = coveredMs(resident.filter(interval => interval.instance === engine))
    idleMs += heldMs - coveredMs(running.filter(interval => interval.instance === engine))
  }
  return idleMs / 1000
}
