import { MARK_NAMES, SPAN_RULES } from './spanRules.js'

import type { TimedEvent } from '../ordering/orderEvents.js'
import type { SpanRule } from './spanRules.js'
import type { Mark, Picture, Span } from './types.js'

const ROLE_ORDER = ['load', 'router', 'agent']

const roleRank = (role: string): number => {
  const rank = ROLE_ORDER.indexOf(role)
  return rank === -1 ? ROLE_ORDER.length : rank
}

const lanesOf = (events: readonly TimedEvent[]): readonly string[] => {
  const roles = new Map(events.map(({ event }) => [event.instance, event.role]))
  const byRole = [...roles].sort(([a, roleA], [b, roleB]) =>
    roleRank(roleA) - roleRank(roleB) || (a < b ? -1 : 1))
  return byRole.map(([instance]) => instance)
}

const spansOf = (events: readonly TimedEvent[], rule: SpanRule, endMs: number): readonly Span[] => {
  const open = new Map<string, Span>()
  const closed: Span[] = []
  for (const { event, atMs } of events) {
    const key = `${event.instance}\u0000${rule.key(event)}`
    const started = open.get(key)
    const end = rule.closes[event.name]
    if (started && end) {
      closed.push({ ...started, toMs: atMs, end })
      open.delete(key)
    }
    if (event.name !== rule.opens || open.has(key)) continue
    if (rule.isOpenedBy && !rule.isOpenedBy(event)) continue
    open.set(key, { lane: event.instance, kind: rule.kind, label: rule.label(event), fromMs: atMs, toMs: endMs, end: 'open' })
  }
  return [...closed, ...open.values()]
}

const markOf = ({ event, atMs }: TimedEvent): Mark | undefined => {
  const shown = MARK_NAMES[event.name]
  if (!shown) return undefined
  return { lane: event.instance, label: event.name, atMs, severe: shown.severe }
}

/** Works out what a picture of the events shows. */
export const buildPicture = (events: readonly TimedEvent[]): Picture => {
  const fromMs = events[0]?.atMs ?? 0
  const toMs = events.at(-1)?.atMs ?? 0
  const spans = SPAN_RULES.flatMap(rule => spansOf(events, rule, toMs))
  const marks = events.map(markOf).filter(mark => mark !== undefined)
  // A process that only started says nothing; dozens of such lanes hide those that do.
  const telling = new Set([...spans, ...marks.filter(mark => mark.severe)].map(({ lane }) => lane))
  return {
    lanes: lanesOf(events).filter(lane => telling.has(lane)),
    spans,
    marks: marks.filter(mark => telling.has(mark.lane)),
    fromMs,
    toMs
  }
}
