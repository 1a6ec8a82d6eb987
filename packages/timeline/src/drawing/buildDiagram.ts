import { MARKED_EVENTS, SPAN_RULES } from './spanRules.js'

import type { TimedEvent } from '../ordering/orderEvents.js'
import type { SpanRule } from './spanRules.js'
import type { Mark, Diagram, Span } from './types.js'

const ROLE_ORDER = ['load', 'router', 'agent']

const roleRank = (role: string): number => {
  const rank = ROLE_ORDER.indexOf(role)
  return rank === -1 ? ROLE_ORDER.length : rank
}

const sortLanes = (events: readonly TimedEvent[]): readonly string[] => {
  const roles = new Map(events.map(({ event }) => [event.instance, event.role]))
  const byRole = [...roles].sort(([a, roleA], [b, roleB]) =>
    roleRank(roleA) - roleRank(roleB) || (a < b ? -1 : 1))
  return byRole.map(([instance]) => instance)
}

const collectSpans = (events: readonly TimedEvent[], rule: SpanRule, endMs: number): readonly Span[] => {
  const open = new Map<string, Span>()
  const closed: Span[] = []
  for (const { event, atMs } of events) {
    const key = `${event.instance}\u0000${rule.key(event)}`
    const started = open.get(key)
    const end = rule.endEvents[event.name]
    if (started && end) {
      closed.push({ ...started, toMs: atMs, end })
      open.delete(key)
    }
    if (event.name !== rule.startEvent || open.has(key)) continue
    if (rule.isStart && !rule.isStart(event)) continue
    open.set(key, { lane: event.instance, kind: rule.kind, label: rule.label(event), fromMs: atMs, toMs: endMs, end: 'open' })
  }
  return [...closed, ...open.values()]
}

const toMark = ({ event, atMs }: TimedEvent): Mark | undefined => {
  const style = MARKED_EVENTS[event.name]
  if (!style) return undefined
  return { lane: event.instance, label: event.name, atMs, isSevere: style.isSevere }
}

/** Computes the lanes, spans and marks that represent the events. */
export const buildDiagram = (events: readonly TimedEvent[]): Diagram => {
  const fromMs = events[0]?.atMs ?? 0
  const toMs = events.at(-1)?.atMs ?? 0
  const spans = SPAN_RULES.flatMap(rule => collectSpans(events, rule, toMs))
  const marks = events.map(toMark).filter(mark => mark !== undefined)
  // Lanes of processes that only started are omitted: dozens of them would hide the lanes with spans or severe marks.
  const shownLanes = new Set([...spans, ...marks.filter(mark => mark.isSevere)].map(({ lane }) => lane))
  return {
    lanes: sortLanes(events).filter(lane => shownLanes.has(lane)),
    spans,
    marks: marks.filter(mark => shownLanes.has(mark.lane)),
    fromMs,
    toMs
  }
}
