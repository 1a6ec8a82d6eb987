/** Messages between routers and agents. */
import type { FeedRecord, FeedStretch } from '../feeds/types.js'
import type { HeldModel, ServerStart } from '../servers/types.js'

/** Keeps a silent link open. */
export interface Heartbeat {
  readonly type: 'heartbeat'
}

/** A router asks that a model, or an adapter of it, be in place. */
export interface Want {
  readonly type: 'want'
  readonly wantId: number
  readonly serverId: string
  readonly modelName: string
  readonly adapterName?: string
  /** Requests that wait for it. 0: asked ahead of any request. */
  readonly waitingCount: number
  /** Requests of the next seconds that are late without it as the router sees it, beside those that wait. */
  readonly lateCount: number
  /** Time for which the router's callers have asked for it in vain, one after the other. Left out: it is asked for the first time. */
  readonly unmetForMs?: number
  /** The agent gives the want up after this time. */
  readonly timeLeftMs: number
}

/** A router takes a want back: its caller has left, or the model is to be had elsewhere. */
export interface WantDropped {
  readonly type: 'wantDropped'
  readonly wantId: number
}

/** A router is behind: it asks for the newest configuration that the agent knows. */
export interface DeploymentAsked {
  readonly type: 'deploymentAsked'
}

/** Demand for one model as one router sees it. */
export interface ModelDemand {
  readonly modelName: string
  readonly requestsPerS: number
  /** Prompt tokens to be computed, a second. */
  readonly promptTokensPerS: number
  /** Time since the router's newest request for it. */
  readonly idleMs: number
  /** Adapters of it that were asked for since the last message. */
  readonly adapterNames: readonly string[]
}

/** How many engines hold a model. */
export interface ModelReplicas {
  readonly modelName: string
  readonly replicaCount: number
}

/**
 * What has changed in a router's demand, several times a second. Told whole to every agent it would be most of the bytes
 * between data centres at 24 routers and 30 agents.
 */
export interface Demand {
  readonly type: 'demand'
  /** Models with requests since the last message; what is said of the others decays. */
  readonly models: readonly ModelDemand[]
  /** Models whose number of replicas has changed, with or without demand. */
  readonly replicas: readonly ModelReplicas[]
  /** Models for which the router has requests running at the agent's engine. Left out while they are the same. */
  readonly runningModels?: readonly string[]
}

/** Records of the store that a router has read, for those that the store does not answer. */
export interface Relay {
  readonly type: 'relay'
  readonly feedName: string
  readonly records: readonly FeedRecord[]
}

/**
 * What a router has read of the list of servers. Those that have read up to its beginning need not read it themselves.
 */
export interface ListRead extends FeedStretch {
  readonly type: 'listRead'
  /** Time since the read began: what was written later is missing. */
  readonly ageMs: number
  /** Time for which a missing server may only have lapsed, as the store was away; 0 when it was not. */
  readonly settlingMs: number
}

/** A request that was running when its backend server died, by the hash of what would be sent again. */
export interface Crash {
  readonly requestHash: string
  readonly start: ServerStart
}

/** Crashes that a router has seen of late. */
export interface CrashNotice {
  readonly type: 'crash'
  readonly crashes: readonly Crash[]
}

/** The organisations whose requests the agent counts for this router from now on, in place of those told before. */
export interface LimiterChosen {
  readonly type: 'limiterChosen'
  readonly organisations: readonly string[]
  /** The most routers that this one knows of. */
  readonly routerCount: number
}

/** A router asks for units of an organisation's limit for one request. */
export interface UnitsAsked {
  readonly type: 'unitsAsked'
  readonly askId: number
  readonly organisation: string
  readonly units: number
  /** The request may wait this long for them. */
  readonly maxWaitMs: number
}

/** Units of a request that has not run; below 0 those of one that runs once more. */
export interface UnitsReturned {
  readonly type: 'unitsReturned'
  readonly organisation: string
  readonly units: number
}

/** What became of a router's question for units. */
export interface UnitsAnswered {
  readonly type: 'unitsAnswered'
  readonly askId: number
  /** Unknown: the agent does not count this organisation for the router. */
  readonly outcome: 'taken' | 'refused' | 'unknown'
  /** Time after which units that were taken may be used, or those that were refused are there. */
  readonly waitMs: number
}

export type RouterMessage =
  | Heartbeat | Want | WantDropped | DeploymentAsked | Demand | Relay | ListRead | CrashNotice | LimiterChosen | UnitsAsked | UnitsReturned

/** What an agent's server holds and does. Sent when a link is opened. */
export interface AgentState extends ServerStart {
  readonly type: 'state'
  /** Empty while the agent does not know which start of the server it speaks for. */
  readonly serverId: string
  /** Earlier starts of the server, which are gone though they may still be listed. */
  readonly goneStarts: readonly ServerStart[]
  readonly isUp: boolean
  readonly isDraining: boolean
  readonly models: readonly HeldModel[]
  /** Models that take no new requests: an order to unload is about to be given. */
  readonly leavingModels: readonly string[]
  /** Model that is being loaded. */
  readonly loadingModel: string
  /** That load comes from the weight store: the engine takes no other order for seconds. */
  readonly isLoadingCold: boolean
  /** Time until that load ends, as far as is known. */
  readonly loadingLeftMs: number
  /** Time since the engine began that load; 0 while it has not. */
  readonly loadingForMs: number
  /** Time until the agent may begin another load from the weight store. */
  readonly coldWaitMs: number
  /** Expected time to make room for another model. */
  readonly roomMs: number
  /** Models that are wanted and not begun, in order. */
  readonly queuedModels: readonly string[]
  readonly inMemory: readonly string[]
  readonly onDisk: readonly string[]
  /** Requests that would be late because of the cheapest eviction. */
  readonly evictionLoss: number
  /** Demand of all routers for the models held, prompt tokens a second. */
  readonly demandTokensPerS: readonly number[]
  /** Routers that are linked to the agent. */
  readonly routerCount: number
  /** Offset of the newest configuration that the agent has seen; -1 for none. */
  readonly deploymentOffset: number
}

/** What has changed in an agent's state since the last message about it. */
export interface AgentStateChange {
  readonly type: 'stateChange'
  readonly changes: Partial<Omit<AgentState, 'type'>>
}

/** A server's load, a few times a second while it changes. */
export interface AgentLoad {
  readonly type: 'load'
  readonly runningCount: number
  /** Requests without a first event, those that wait among them. */
  readonly startingCount: number
}

/** A want is met, or given up. */
export interface WantSettled {
  readonly type: 'wantSettled'
  readonly wantId: number
  readonly isReady: boolean
  /** The engine or its agent went away: another one may still load the model in time. */
  readonly isLost: boolean
  readonly reason: string
}

export type AgentMessage = Heartbeat | AgentState | AgentStateChange | AgentLoad | WantSettled | Relay | ListRead | CrashNotice | UnitsAnswered
