import { createServer } from 'node:http'
import { match } from 'ts-pattern'
import { isLoadNews } from '@figmount/decisions'
import { MESSAGE_STRUCTURES } from '@figmount/fleet'
import { acceptLinks, createMessageCodec, HEARTBEAT_MS, NO_OFFSET, packMessage } from '@figmount/peers'

import { changedFields, figuresOf, pickFields, textsOf } from './compareStates.js'
import { LOAD_PERIOD_MS } from './constants.js'
import { createPassedReads } from './createPassedReads.js'
import { createPassedRecords } from './createPassedRecords.js'

import type { EventLog, InstanceName, TimerService } from '@figmount/base'
import type { AgentLoad, AgentMessage, AgentState, AgentStateChange, Demand, ListRead, Relay, RouterMessage, Want } from '@figmount/fleet'
import type { Link } from '@figmount/peers'
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
  readonly noteSent?: (type: string, byteCount: number) => void
  /** Undefined until the agent knows anything of its engine. */
  readonly describe: (routerCount: number) => AgentState | undefined
  readonly describeLoad: () => AgentLoad | undefined
  /** Another engine holds one of the models too, as far as routers have told. */
  readonly hasReplicaElsewhere: () => boolean
  readonly takeWant: (router: string, want: Want, settle: Settle) => void
  readonly dropWant: (router: string, wantId: number) => void
  readonly dropRouter: (router: string) => void
  readonly limiters: Limiters
  readonly takeDemand: (router: string, demand: Demand) => void
  readonly takeRelay: (relay: Relay) => void
  /** The newest configuration, for a router that is behind. */
  readonly deploymentRelay: () => Relay | undefined
}

/** A state that all routers know, and its fields as texts. */
interface ToldState {
  readonly state: AgentState
  readonly texts: ReadonlyMap<string, string>
}

/** A change of the state since all routers were last told. */
interface StateNews extends ToldState {
  readonly message: AgentStateChange
}

const NO_TEXTS: ToldState['texts'] = new Map()

/** The agent's links from routers. */
export interface RouterLinks {
  /** Tells every router the state if it has changed. */
  readonly tell: () => void
  readonly close: () => void
}

/** Listens for routers. */
export const serveRouters = (options: Options): RouterLinks => {
  const { timers, events } = options
  const codec = createMessageCodec(MESSAGE_STRUCTURES)
  const links = new Set<RouterLink>()
  const lastSentMs = new Map<RouterLink, number>()
  const passed = createPassedRecords()
  let told: ToldState | undefined
  let toldLoad: { readonly load: AgentLoad, readonly atMs: number } | undefined
  const passedReads = createPassedReads(timers)

  // Guards against a router that counts twice while a link of it that has gone silent is still open.
  const routerCount = (): number => new Set([...links].map(link => link.peer)).size

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

  /** What is new since all routers were last told; undefined when nothing is. */
  const describeNews = (): StateNews | undefined => {
    const state = options.describe(routerCount())
    if (!state) return undefined
    const texts = textsOf(state)
    const changed = changedFields(told?.texts ?? NO_TEXTS, texts)
    if (changed.length === 0) return undefined
    return { state, texts, message: { type: 'stateChange', changes: { ...pickFields(state, changed), ...figuresOf(state) } } }
  }

  /** Tells routers that have heard nothing yet the state from which changes are told to all. */
  const tellWhole = (receivers: Iterable<RouterLink>, state: AgentState): void => {
    sendToMany(receivers, state)
    if (toldLoad) sendToMany(receivers, toldLoad.load)
  }

  const tell = (): void => {
    const news = describeNews()
    if (!news) return
    const isFirst = told === undefined
    told = news
    if (isFirst) tellWhole(links, news.state)
    else sendToAll(news.message)
  }

  const tellLoad = (): void => {
    const load = options.describeLoad()
    if (!load) return
    const atMs = timers.nowMs()
    if (toldLoad && !isLoadNews({ load: toldLoad.load, ageMs: atMs - toldLoad.atMs, hasReplicaElsewhere: options.hasReplicaElsewhere() }, load)) return
    toldLoad = { load, atMs }
    sendToAll(load)
  }

  const keepAlive = (): void => {
    const nowMs = timers.nowMs()
    const silent = [...links].filter(link => nowMs - (lastSentMs.get(link) ?? 0) >= HEARTBEAT_MS)
    const state = silent.length === 0 ? undefined : options.describe(routerCount())
    if (!state) return
    sendToMany(silent, { type: 'stateChange', changes: figuresOf(state) })
  }

  const settleFor = (link: RouterLink): Settle => (wantId, end) => {
    // The state goes first: a router that hears that its model is there must know where. The others hear it at the next look.
    const news = describeNews()
    if (news) sendTo(link, news.message)
    sendTo(link, { type: 'wantSettled', wantId, ...end })
  }

  const passOn = (link: RouterLink, relay: Relay): void => {
    options.takeRelay(relay)
    const fresh = passed.takeNew(relay)
    if (fresh) sendToAll(fresh, link)
  }

  const passOnList = (link: RouterLink, read: ListRead): void => {
    if (passedReads.isNew(read)) sendToAll(read, link)
  }

  const sendDeployment = (link: RouterLink): void => {
    const relay = options.deploymentRelay()
    if (relay) sendTo(link, relay)
  }

  const take = (link: RouterLink, message: RouterMessage): void => {
    match(message)
      .with({ type: 'want' }, want => { options.takeWant(link.peer, want, settleFor(link)) })
      .with({ type: 'wantDropped' }, ({ wantId }) => { options.dropWant(link.peer, wantId) })
      .with({ type: 'demand' }, demand => { options.takeDemand(link.peer, demand) })
      .with({ type: 'relay' }, relay => { passOn(link, relay) })
      .with({ type: 'listRead' }, read => { passOnList(link, read) })
      .with({ type: 'deploymentAsked' }, () => { sendDeployment(link) })
      .with({ type: 'limiterChosen' }, chosen => { options.limiters.choose(link.peer, chosen) })
      .with({ type: 'unitsAsked' }, asked => { sendTo(link, options.limiters.ask(link.peer, asked)) })
      .with({ type: 'unitsReturned' }, returned => { options.limiters.returnUnits(link.peer, returned) })
      .with({ type: 'crash' }, notice => { sendToAll(notice, link) })
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
    // Guards against a router that starts from a state which the others were never told: what is taken back before the next
    // look would be no change to them, and this one would keep it. All begin from the same state.
    const now = options.describe(routerCount())
    if (told && now) tellWhole([link], { ...told.state, ...figuresOf(now) })
    else tell()
    try {
      for await (const message of link.received) take(link, message)
    } finally {
      links.delete(link)
      lastSentMs.delete(link)
      if (!isLinked(link.peer)) options.dropRouter(link.peer)
    }
  }

  const server = createServer((_request, response) => { response.writeHead(404).end() })
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
  server.listen(options.port, options.host)
  const stopLoad = timers.every(LOAD_PERIOD_MS, tellLoad)
  const stopKeepAlive = timers.every(HEARTBEAT_MS / 2, keepAlive)

  return {
    tell,
    close: () => {
      stopLoad()
      stopKeepAlive()
      for (const link of links) link.close('the agent stops')
      server.close()
    }
  }
}
