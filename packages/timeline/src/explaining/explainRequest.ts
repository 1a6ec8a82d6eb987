import { conclude } from './conclude.js'
import { LOOK_BACK_MS, MODEL_NAMES, PROCESS_NAMES, SERVER_NAMES } from './constants.js'

import type { TimedEvent } from '../ordering/orderEvents.js'

/** One request, from its first line to its cause. */
export interface Explanation {
  /** The request's own lines and those that bear on it, in order of time. */
  readonly events: readonly TimedEvent[]
  readonly conclusion: string
  /** False when no line names the request. */
  readonly isFound: boolean
}

interface Path {
  readonly fromMs: number
  readonly toMs: number
  /** Servers and agents' servers that the request's lines name. */
  readonly peers: ReadonlySet<string>
  readonly models: ReadonlySet<string>
  readonly instances: ReadonlySet<string>
}

const describePath = (own: readonly TimedEvent[]): Path => {
  const peers = new Set<string>()
  const models = new Set<string>()
  const instances = new Set<string>()
  for (const { event } of own) {
    if (event.peer) peers.add(event.peer)
    if (event.model) models.add(event.model)
    instances.add(event.instance)
  }
  return { fromMs: (own[0]?.atMs ?? 0) - LOOK_BACK_MS, toMs: own.at(-1)?.atMs ?? 0, peers, models, instances }
}

const bearsOn = (path: Path, { event, atMs }: TimedEvent): boolean => {
  if (atMs < path.fromMs || atMs > path.toMs) return false
  if (SERVER_NAMES.has(event.name)) return path.peers.has(event.peer ?? '')
  if (MODEL_NAMES.has(event.name)) return path.models.has(event.model ?? '')
  return PROCESS_NAMES.has(event.name) && path.instances.has(event.instance)
}

const lastPeerOf = (own: readonly TimedEvent[]): string =>
  own.findLast(({ event }) => event.name === 'requestSent')?.event.peer ?? ''

/**
 * Follows one request through the lines of all processes: its own lines, and what became meanwhile of the servers that
 * it met, of its model, and of its router.
 */
export const explainRequest = (events: readonly TimedEvent[], requestKey: string): Explanation => {
  const own = events.filter(({ event }) => event.requestKey === requestKey)
  const conclusion = conclude(own.at(-1)?.event, lastPeerOf(own))
  if (own.length === 0) return { events: [], conclusion, isFound: false }
  const path = describePath(own)
  return {
    events: events.filter(timed => timed.event.requestKey === requestKey || bearsOn(path, timed)),
    conclusion,
    isFound: true
  }
}
