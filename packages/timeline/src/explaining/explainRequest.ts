import { describeOutcome } from './describeOutcome.js'
import { LOOKBACK_MS, MODEL_EVENTS, PROCESS_EVENTS, SERVER_EVENTS } from './constants.js'

import type { TimedEvent } from '../ordering/orderEvents.js'

/** The events that explain one request, and a sentence that says how it ended. */
export interface Explanation {
  /** The request's own events and the events related to them, in order of time. */
  readonly events: readonly TimedEvent[]
  readonly conclusion: string
  /** False when no event names the request. */
  readonly isFound: boolean
}

interface RequestContext {
  readonly fromMs: number
  readonly toMs: number
  /** Backend servers and agents named in the request's events. */
  readonly peers: ReadonlySet<string>
  readonly models: ReadonlySet<string>
  readonly instances: ReadonlySet<string>
}

const collectContext = (ownEvents: readonly TimedEvent[]): RequestContext => {
  const peers = new Set<string>()
  const models = new Set<string>()
  const instances = new Set<string>()
  for (const { event } of ownEvents) {
    if (event.peer) peers.add(event.peer)
    if (event.model) models.add(event.model)
    instances.add(event.instance)
  }
  return { fromMs: (ownEvents[0]?.atMs ?? 0) - LOOKBACK_MS, toMs: ownEvents.at(-1)?.atMs ?? 0, peers, models, instances }
}

const isRelated = (context: RequestContext, { event, atMs }: TimedEvent): boolean => {
  if (atMs < context.fromMs || atMs > context.toMs) return false
  if (SERVER_EVENTS.has(event.name)) return context.peers.has(event.peer ?? '')
  if (MODEL_EVENTS.has(event.name)) return context.models.has(event.model ?? '')
  return PROCESS_EVENTS.has(event.name) && context.instances.has(event.instance)
}

const lastPeerOf = (ownEvents: readonly TimedEvent[]): string =>
  ownEvents.findLast(({ event }) => event.name === 'requestSent')?.event.peer ?? ''

/**
 * Explains one request from the events of all processes: its own events, and what happened in the meantime to the servers that it was
 * sent to, to its model and to its router.
 */
export const explainRequest = (events: readonly TimedEvent[], requestKey: string): Explanation => {
  const ownEvents = events.filter(({ event }) => event.requestKey === requestKey)
  const conclusion = describeOutcome(ownEvents.at(-1)?.event, lastPeerOf(ownEvents))
  if (ownEvents.length === 0) return { events: [], conclusion, isFound: false }
  const context = collectContext(ownEvents)
  return {
    events: events.filter(timed => timed.event.requestKey === requestKey || isRelated(context, timed)),
    conclusion,
    isFound: true
  }
}
