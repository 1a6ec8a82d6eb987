import { StandinEvent } from '@figmount/standin'

import { coveredMs } from './intervals.js'

import type { EventKind, EventRecord } from '@figmount/base'
import type { Interval } from './intervals.js'

/** A period during which a model was loading or resident, or a stream ran, on one engine. */
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

/** Pairs begin and end events; an interval without an end event ends when its process exits or when the run ends. */
const pairEvents = (events: readonly EventRecord[], rule: IntervalRule): readonly ModelInterval[] => {
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

const modelKey = (event: EventRecord): string => `${event.instance} ${event.model}`
const streamKey = (event: EventRecord): string => `${event.instance} ${event.attemptId}`

/** Returns the intervals of all loads; one that has not ended lasts until its process exits or the run ends. */
export const findLoadIntervals = (events: readonly EventRecord[]): readonly ModelInterval[] => pairEvents(events, {
  begins: [StandinEvent.loadStarted], ends: [StandinEvent.loadFinished, StandinEvent.loadFailed], keyOf: modelKey
})

/** Returns the seconds during which a model was resident on an engine and nothing ran there, summed over all engines. */
export const sumIdleSeconds = (events: readonly EventRecord[]): number => {
  const resident = pairEvents(events, { begins: [StandinEvent.loadFinished], ends: [StandinEvent.modelUnloaded], keyOf: modelKey })
  const running = pairEvents(events, { begins: [StandinEvent.generateStarted], ends: [StandinEvent.generateFinished, StandinEvent.generateEnded], keyOf: streamKey })
  const engines = new Set(resident.map(interval => interval.instance))
  let idleMs = 0
  for (const engine of engines) {
    const residentMs = coveredMs(resident.filter(interval => interval.instance === engine))
    idleMs += residentMs - coveredMs(running.filter(interval => interval.instance === engine))
  }
  return idleMs / 1000
}
