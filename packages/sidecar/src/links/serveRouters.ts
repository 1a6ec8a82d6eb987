import { match } from 'ts-pattern'
import { createHttpListener, listenWhenFree } from '@figmount/base'
import { shouldReportLoad } from '@figmount/decisions'
import { MESSAGE_STRUCTURES } from '@figmount/fleet'
import { acceptLinks, CONNECT_TIMEOUT_MS, createMessageCodec, HEARTBEAT_MS, NO_OFFSET, packMessage, serveMessages } from '@figmount/peers'

import { createCrashNotices } from '../crashes/createCrashNotices.js'
import { changedFields, volatileFieldsOf, pickFields, serializeFields } from './compareStates.js'
import { LOAD_PERIOD_MS } from './constants.js'
import { createRelayedReads } from './createRelayedReads.js'
import { createRouterCensus } from './createRouterCensus.js'

import type { ConnectionRoom, EventLog, InstanceName, TimerService } from '@figmount/base'
import type { AgentLoad, AgentMessage, AgentState, AgentStateChange, CrashNotice, Demand, DeploymentAsked, DeploymentPiece, ListRead, RouterMessage, Want } from '@figmount/fleet'
import type { Link } from '@figmount/peers'
import type { OriginMemory } from '../origins/createOriginMemory.js'
import type { Limiters } from '../limits/createLimiters.js'
import type { Settle } from '../wants/createWantRegistry.js'

type RouterLink = Link<AgentMessage, RouterMessage>

interface Options {
  readonly instance: InstanceName
  readonly host: string
  readonly port: number
  readonly sharedKey: string
  readonly timers: TimerService
  readonly events: EventLog
  readonly connections: ConnectionRoom
  /** Ends the wait for the port. */
  readonly stopSignal?: AbortSignal
  readonly noteSent?: (type: string, byteCount: number) => void
  /** Returns undefined until the agent has had a first result from its engine. */
  readonly describe: (routerCount: number) => AgentState | undefined
  readonly describeLoad: () => AgentLoad | undefined
  /** True when another engine holds one of the models too, as far as routers have reported. */
  readonly hasReplicaElsewhere: () => boolean
  readonly takeWant: (router: string, want: Want, settle: Settle) => void
  readonly dropWant: (router: string, wantId: number) => void
  readonly dropRouter: (router: string) => void
  readonly limiters: Limiters
  readonly origins: OriginMemory
  readonly takeDemand: (router: string, demand: Demand) => void
  /** A piece of the agent's configuration, for a router that has an older one. */
  readonly pieceOf: (asked: DeploymentAsked) => DeploymentPiece | undefined
  /** A router has this version of the configuration. */
  readonly noteHeld: (router: string, version: number) => void
  readonly takePiece: (router: string, piece: DeploymentPiece) => void
}

/** The state last sent to all routers, and its serialized fields. */
interface SentState {
  readonly state: AgentState
  readonly texts: ReadonlyMap<string, string>
}

/** A changed state and the message with its changes since a state that was sent. */
interface StateUpdate extends SentState {
  readonly message: AgentStateChange
}

const NO_TEXTS: SentState['texts'] = new Map()

/** Links that routers have opened to the agent. */
export interface RouterLinks {
  /** Sends every router the changes of the state, if there are any. */
  readonly sendUpdate: () => void
  /** Sends one router a message, if it is linked. */
  readonly send: (router: string, message: AgentMessage) => void
  /** Resolves once the agent's port is free and routers can open links. */
  readonly listening: Promise<void>
  readonly close: () => void
}

/** Listens for links from routers and serves them. */
export const serveRouters = (options: Options): RouterLinks => {
  const { timers, events } = options
  const codec = createMessageCodec(MESSAGE_STRUCTURES)
  const links = new Set<RouterLink>()
  const lastSentMs = new Map<RouterLink, number>()
  let sentState: SentState | undefined
  /** The states of routers that have got changes since `sentState` alone. */
  const ahead = new Map<RouterLink, SentState['texts']>()
  let sentLoad: { readonly load: AgentLoad, readonly atMs: number } | undefined
  const relayedReads = createRelayedReads(timers)
  const crashNotices = createCrashNotices(timers)
  const census = createRouterCensus(timers, () => [...links].map(link => link.peer))

  const sendToMany = (receivers: Iterable<RouterLink>, message: AgentMessage): void => {
    const packed = packMessage({ offset: () => NO_OFFSET, events, codec }, message)
    for (const link of receivers) {
      lastSentMs.set(link, timers.nowMs())
      link.sendPacked(packed)
    }
  }

  const sendTo = (link: RouterLink, message: AgentMessage): void => { sendToMany([link], message) }

  const sendToAll = (message: AgentMessage, except?: RouterLink): void => {
    sendToMany([...links].filter(link => link !== except), message)
  }

  const updateSince = (texts: SentState['texts'], state: AgentState): StateUpdate | undefined => {
    const now = serializeFields(state)
    const changed = changedFields(texts, now)
    if (changed.length === 0) return undefined
    return { state, texts: now, message: { type: 'stateChange', changes: { ...pickFields(state, changed), ...volatileFieldsOf(state) } } }
  }

  /** Sends newly linked routers the full state to which the later changes sent to all routers apply. */
  const sendFullState = (receivers: Iterable<RouterLink>, state: AgentState): void => {
    sendToMany(receivers, state)
    if (sentLoad) sendToMany(receivers, sentLoad.load)
  }

  // Guards against a router that keeps a change which was sent to it alone and is reverted before the next comparison with what all have.
  const sendToAhead = (state: AgentState): void => {
    for (const [link, texts] of ahead) {
      const update = updateSince(texts, state)
      if (update && links.has(link)) sendTo(link, update.message)
    }
  }

  const sendUpdate = (): void => {
    const state = options.describe(census.count())
    if (!state) return
    sendToAhead(state)
    const update = updateSince(sentState?.texts ?? NO_TEXTS, state)
    const others = [...links].filter(link => !ahead.has(link))
    ahead.clear()
    if (!update) return
    const isFirst = sentState === undefined
    sentState = update
    if (isFirst) sendFullState(links, update.state)
    else sendToMany(others, update.message)
  }

  const sendLoad = (): void => {
    const load = options.describeLoad()
    if (!load) return
    const atMs = timers.nowMs()
    if (sentLoad && !shouldReportLoad({ load: sentLoad.load, ageMs: atMs - sentLoad.atMs, hasReplicaElsewhere: options.hasReplicaElsewhere() }, load)) return
    sentLoad = { load, atMs }
    sendToAll(load)
  }

  const keepAlive = (): void => {
    const nowMs = timers.nowMs()
    const silent = [...links].filter(link => nowMs - (lastSentMs.get(link) ?? 0) >= HEARTBEAT_MS)
    const state = silent.length === 0 ? undefined : options.describe(census.count())
    if (!state) return
    sendToMany(silent, { type: 'stateChange', changes: volatileFieldsOf(state) })
  }

  const settleFor = (link: RouterLink): Settle => (wantId, outcome) => {
    // The state is sent first: a router whose want is met must see which engine holds the model. Others get it at the next comparison.
    const state = options.describe(census.count())
    const update = state && updateSince(ahead.get(link) ?? sentState?.texts ?? NO_TEXTS, state)
    if (update) {
      sendTo(link, update.message)
      ahead.set(link, update.texts)
    }
    sendTo(link, { type: 'wantSettled', wantId, ...outcome })
  }

  const forwardListRead = (link: RouterLink, read: ListRead): void => {
    if (relayedReads.isNew(read)) sendToAll(read, link)
  }

  const forwardCrashes = (link: RouterLink, notice: CrashNotice): void => {
    const newPart = crashNotices.takeNew(notice)
    if (newPart) sendToAll(newPart, link)
  }

  const sendPiece = (link: RouterLink, asked: DeploymentAsked): void => {
    const piece = options.pieceOf(asked)
    if (piece) sendTo(link, piece)
  }

  const take = (link: RouterLink, message: RouterMessage): void => {
    match(message)
      .with({ type: 'want' }, want => { options.takeWant(link.peer, want, settleFor(link)) })
      .with({ type: 'wantDropped' }, ({ wantId }) => { options.dropWant(link.peer, wantId) })
      .with({ type: 'demand' }, demand => { options.takeDemand(link.peer, demand) })
      .with({ type: 'listRead' }, read => { forwardListRead(link, read) })
      .with({ type: 'deploymentAsked' }, asked => { sendPiece(link, asked) })
      .with({ type: 'deploymentHeld' }, ({ version }) => { options.noteHeld(link.peer, version) })
      .with({ type: 'deploymentPiece' }, piece => { options.takePiece(link.peer, piece) })
      .with({ type: 'limiterChosen' }, chosen => { options.limiters.choose(link.peer, chosen) })
      .with({ type: 'unitsAsked' }, asked => { sendTo(link, options.limiters.ask(link.peer, asked)) })
      .with({ type: 'streamsBegan' }, ({ origins }) => { options.origins.note(origins) })
      .with({ type: 'originAsked' }, ({ askId, streamId, serviceName }) => {
        sendTo(link, { type: 'originAnswered', askId, softwareVersion: options.origins.find(streamId, serviceName), rememberedForMs: options.origins.rememberedForMs() })
      })
      .with({ type: 'unitsReturned' }, returned => { options.limiters.returnUnits(link.peer, returned) })
      .with({ type: 'crash' }, notice => { forwardCrashes(link, notice) })
      .with({ type: 'serverLimit' }, { type: 'serverLeaving' }, notice => { sendToAll(notice, link) })
      .with({ type: 'heartbeat' }, () => {})
      .exhaustive()
  }

  const isLinked = (router: string): boolean => {
    for (const link of links) {
      if (link.peer === router) return true
    }
    return false
  }

  const runLink = async (link: RouterLink): Promise<void> => {
    links.add(link)
    // Guards against a new router that starts from a state which the others never received: a change reverted before the next
    // comparison would not be sent, and the new router would keep it. So all routers start from the same state.
    const currentState = options.describe(census.count())
    if (sentState && currentState) sendFullState([link], { ...sentState.state, ...volatileFieldsOf(currentState) })
    else sendUpdate()
    const knownCrashes = crashNotices.all()
    if (knownCrashes) sendTo(link, knownCrashes)
    try {
      await serveMessages(link, events, message => { take(link, message) })
    } finally {
      links.delete(link)
      census.noteLost(link.peer)
      lastSentMs.delete(link)
      ahead.delete(link)
      if (!isLinked(link.peer)) options.dropRouter(link.peer)
    }
  }

  const { server, limit } = createHttpListener({
    timers,
    connections: options.connections,
    handle: (_message, response) => { response.writeHead(404, { connection: 'close' }).end() },
    server: { headersTimeout: CONNECT_TIMEOUT_MS, requestTimeout: CONNECT_TIMEOUT_MS, connectionsCheckingInterval: HEARTBEAT_MS }
  })
  limit({ headMs: CONNECT_TIMEOUT_MS, idleMs: CONNECT_TIMEOUT_MS })
  acceptLinks<AgentMessage, RouterMessage>(server, {
    instance: options.instance,
    sharedKey: options.sharedKey,
    timers,
    events,
    codec,
    offset: () => NO_OFFSET,
    onPeerOffset: () => {},
    ...(options.noteSent ? { noteSent: options.noteSent } : {})
  }, runLink)
  const listening = listenWhenFree(server, `${options.host}:${options.port}`, options)
  const stopLoad = timers.every(LOAD_PERIOD_MS, sendLoad)
  const stopKeepAlive = timers.every(HEARTBEAT_MS / 2, keepAlive)

  return {
    listening,
    sendUpdate,
    send: (router, message) => {
      for (const link of links) {
        if (link.peer !== router) continue
        return sendTo(link, message)
      }
    },
    close: () => {
      stopLoad()
      stopKeepAlive()
      for (const link of links) link.close('the agent stops')
      server.close()
    }
  }
}
