import { rankByRendezvous } from '@figmount/base'

import { RETENTION_MS } from './constants.js'

import type { TimerService, Unsubscribe } from '@figmount/base'
import type { OriginAnswered, RouterMessage, StreamOrigin } from '@figmount/fleet'

/** Streams remembered at once. */
const MAX_STREAMS = 20_000

/** Agents that remember a stream's origin: one may leave while another does not answer. */
const KEEPER_COUNT = 3

/** Time limit for the agents' answers, which take a few ms. */
const ANSWER_MS = 200

/** How often it is checked whether a service has come to have several software versions, and whether other agents are to remember streams. */
const REVIEW_PERIOD_MS = 250

interface Options {
  readonly timers: TimerService
  /** Servers of several software versions serve, or have served of late, in the service. */
  readonly hasSeveralVersions: (serviceName: string) => boolean
  /** Engine addresses of the agents whose links are open. */
  readonly reachableAddresses: () => readonly string[]
  /** Links to nearly all agents are open. */
  readonly areAgentsReachable: () => boolean
  readonly send: (serverAddress: string, message: RouterMessage) => void
}

/** What is known of a stream's origin. */
export type FoundOrigin =
  | { readonly type: 'known', readonly softwareVersion: string }
  /** Nobody was told of it in this time; 0 if some agent that may know of it did not answer. */
  | { readonly type: 'unknown', readonly rememberedForMs: number }

const UNANSWERED: FoundOrigin = { type: 'unknown', rememberedForMs: 0 }

/** At which software version the router's streams began, and how to find out for those of other routers. */
export interface StreamOrigins {
  readonly note: (origin: StreamOrigin) => void
  /** Finds the software version that began a stream. */
  readonly find: (streamId: string, serviceName: string) => Promise<FoundOrigin>
  readonly takeAnswer: (serverAddress: string, answer: OriginAnswered) => void
  /** The link to this agent broke: the agent may have forgotten what it was told. */
  readonly noteLost: (serverAddress: string) => void
  readonly stop: Unsubscribe
}

interface OwnStream extends StreamOrigin {
  readonly notedMs: number
  /** Agents that remember it, as far as is known; none while its service has one version. */
  readonly toldAddresses: readonly string[]
}

interface OpenQuery {
  /** Agents that have not answered. */
  readonly askedAddresses: Set<string>
  /** Time for which each agent that does not know of it has remembered what it was told. */
  readonly rememberedForMs: number[]
  readonly settle: (found: FoundOrigin) => void
}

/**
 * Creates the origins of one router.
 *
 * Streams of a service with several versions are remembered by a few agents, chosen by the stream's id among those that the router
 * reaches; routers that reach the same agents choose the same ones. When agents are lost or come, others are told where the choice changes.
 * Of a service with one version the agents learn nothing.
 */
export const createStreamOrigins = ({ timers, hasSeveralVersions, reachableAddresses, areAgentsReachable, send }: Options): StreamOrigins => {
  const own = new Map<string, OwnStream>()
  const lostAddresses = new Set<string>()
  let linkedAddresses: ReadonlySet<string> = new Set()
  const openQueries = new Map<number, OpenQuery>()
  let nextAskId = 1

  const chooseKeepers = (streamId: string, addresses: readonly string[]): readonly string[] => rankByRendezvous(streamId, addresses).slice(0, KEEPER_COUNT)

  /** Tells those of the chosen agents that do not know of the stream. */
  const tell = (stream: OwnStream, addresses: readonly string[]): void => {
    const { streamId, serviceName, softwareVersion } = stream
    const keepers = chooseKeepers(streamId, addresses)
    for (const address of keepers) {
      if (!stream.toldAddresses.includes(address)) send(address, { type: 'streamsBegan', origins: [{ streamId, serviceName, softwareVersion }] })
    }
    own.set(streamId, { ...stream, toldAddresses: keepers })
  }

  // Ordered by time.
  const trim = (): void => {
    const oldestMs = timers.nowMs() - RETENTION_MS
    for (const [key, { notedMs }] of own) {
      if (own.size <= MAX_STREAMS && notedMs > oldestMs) return
      own.delete(key)
    }
  }

  const forgetTold = (stream: OwnStream): void => {
    if (stream.toldAddresses.length > 0) own.set(stream.streamId, { ...stream, toldAddresses: [] })
  }

  /** Tells of the streams that began while a service had one version, once it has several, and of all others where the agents have changed. */
  const review = (): void => {
    trim()
    const addresses = reachableAddresses()
    const added = addresses.filter(address => !linkedAddresses.has(address) || lostAddresses.has(address))
    const areMixed = new Map<string, boolean>()
    for (const stream of own.values()) {
      const { serviceName } = stream
      const isMixed = areMixed.get(serviceName) ?? hasSeveralVersions(serviceName)
      areMixed.set(serviceName, isMixed)
      if (!isMixed) {
        forgetTold(stream)
        continue
      }
      const toldAddresses = stream.toldAddresses.filter(address => !lostAddresses.has(address))
      const hasKeepers = toldAddresses.length > 0 && toldAddresses.length === stream.toldAddresses.length
      if (!hasKeepers) tell({ ...stream, toldAddresses }, addresses)
      else if (added.length > 0) tell(stream, [...toldAddresses, ...added])
    }
    linkedAddresses = new Set(addresses)
    lostAddresses.clear()
  }

  const ask = async (streamId: string, serviceName: string): Promise<FoundOrigin> => await new Promise(resolve => {
    const askId = nextAskId++
    const keepers = chooseKeepers(streamId, reachableAddresses())
    const settle = (found: FoundOrigin): void => {
      stopTimer()
      openQueries.delete(askId)
      resolve(found)
    }
    const stopTimer = timers.after(ANSWER_MS, () => { settle(UNANSWERED) })
    if (keepers.length === 0) return settle(UNANSWERED)
    openQueries.set(askId, { askedAddresses: new Set(keepers), rememberedForMs: [], settle })
    for (const address of keepers) send(address, { type: 'originAsked', askId, streamId, serviceName })
  })

  const stopReviewing = timers.every(REVIEW_PERIOD_MS, review)

  return {
    note: origin => {
      const stream = { ...origin, notedMs: timers.nowMs(), toldAddresses: [] }
      own.delete(origin.streamId)
      own.set(origin.streamId, stream)
      if (hasSeveralVersions(origin.serviceName)) tell(stream, reachableAddresses())
    },
    find: async (streamId, serviceName) => {
      const known = own.get(streamId)
      if (known?.serviceName === serviceName) return { type: 'known', softwareVersion: known.softwareVersion }
      return await ask(streamId, serviceName)
    },
    takeAnswer: (serverAddress, { askId, softwareVersion, rememberedForMs }) => {
      const query = openQueries.get(askId)
      if (!query?.askedAddresses.delete(serverAddress)) return
      if (softwareVersion !== undefined) return query.settle({ type: 'known', softwareVersion })
      query.rememberedForMs.push(rememberedForMs)
      if (query.askedAddresses.size > 0) return
      // An agent that is not linked yet may be one that was told.
      query.settle(areAgentsReachable() ? { type: 'unknown', rememberedForMs: Math.min(...query.rememberedForMs) } : UNANSWERED)
    },
    noteLost: serverAddress => { lostAddresses.add(serverAddress) },
    stop: stopReviewing
  }
}
