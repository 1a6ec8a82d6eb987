/** Messages between routers and agents. */
import type { AnsweredRequest, Crash, PartDeath, PartProof } from '../crashes/types.js'
import type { FeedRange } from '../feeds/types.js'
import type { HeldModel, ServerStart } from '../servers/types.js'

/** Keeps an idle link open. */
export interface Heartbeat {
  readonly type: 'heartbeat'
}

/** A router's request to an agent to load a model, or an adapter of it. It stays open until it is settled, withdrawn or expired. */
export interface Want {
  readonly type: 'want'
  readonly wantId: number
  readonly serverId: string
  readonly modelName: string
  readonly adapterName?: string
  /** Requests that wait for it; 0 when it is wanted ahead of any request. */
  readonly waitingCount: number
  /** Further requests of the next seconds that would be late without it, as estimated by the router. */
  readonly lateCount: number
  /** Time for which earlier callers of the router, one after the other, have waited for it without success; undefined for the first want. */
  readonly unmetForMs?: number
  /** The agent gives up the want after this time. */
  readonly timeLeftMs: number
}

/** A router withdraws a want because its caller has left or another engine serves the request. */
export interface WantDropped {
  readonly type: 'wantDropped'
  readonly wantId: number
}

/** A process whose configuration is outdated asks a peer for a piece of a newer one. */
export interface DeploymentAsked {
  readonly type: 'deploymentAsked'
  /** Version of the configuration. Offsets do not tell which is newer: processes may have read different eras of the store. */
  readonly version: number
  readonly index: number
}

/** One piece of a compressed configuration. */
export interface DeploymentPiece {
  readonly type: 'deploymentPiece'
  readonly version: number
  /** Position of its record, where the peer has read it. */
  readonly offset: number
  readonly index: number
  /** Number of pieces of the whole. */
  readonly count: number
  /** Key of the configuration's record. */
  readonly key: string
  readonly bytes: Uint8Array
}

/** A router tells an agent which configuration it has, for agents that get none from the store. */
export interface DeploymentHeld {
  readonly type: 'deploymentHeld'
  readonly version: number
}

/** Demand for one model, measured by one router. */
export interface ModelDemand {
  readonly modelName: string
  readonly requestsPerS: number
  /** Prompt tokens to be computed, per second. */
  readonly promptTokensPerS: number
  /** Time since the router's newest request for it. */
  readonly idleMs: number
  /** Adapters of the model that were requested since the last message. */
  readonly adapterNames: readonly string[]
}

/** Number of engines that hold a model. */
export interface ModelReplicas {
  readonly modelName: string
  readonly replicaCount: number
}

/**
 * Changes of a router's demand, sent several times a second. Sending the full demand to every agent would take most of the
 * traffic between data centres with 24 routers and 30 agents.
 */
export interface Demand {
  readonly type: 'demand'
  /** Models with requests since the last message; the demand last reported for the others decays. */
  readonly models: readonly ModelDemand[]
  /** Models whose replica count has changed, with or without demand. */
  readonly replicas: readonly ModelReplicas[]
  /** Models for which the router has requests running at the agent's engine; undefined when unchanged. */
  readonly runningModels?: readonly string[]
}

/** A router's read of the server list. A router that has read up to the start of the range need not read the range itself. */
export interface ListRead extends FeedRange {
  readonly type: 'listRead'
  /** Time since the read began. Records written later are missing. */
  readonly ageMs: number
  /** Time before the read in which the store is known to have answered. */
  readonly answeredForMs: number
  /** The sender has seen the store fail just before that time. */
  readonly isAfterBreak: boolean
}

/** Crashes, and what disproves that a request or a part of prompts was their cause, as one router has seen them. */
export interface CrashNotice {
  readonly type: 'crash'
  readonly crashes: readonly Crash[]
  readonly answered: readonly AnsweredRequest[]
  readonly partDeaths: readonly PartDeath[]
  readonly partProofs: readonly PartProof[]
}

/** The limit that a backend server names in its answers has changed, as one router has seen it. */
export interface ServerLimitNotice {
  readonly type: 'serverLimit'
  readonly start: ServerStart
  /** Requests per second from all routers together; undefined if the answers name no limit any more. */
  readonly limitPerS: number | undefined
}

/** A backend server says in its answers that it leaves, as one router has seen it. */
export interface ServerLeavingNotice {
  readonly type: 'serverLeaving'
  readonly start: ServerStart
}

/** The software version of the server that began a stream. */
export interface StreamOrigin {
  /** Id of the caller's request whose answer began the stream. */
  readonly streamId: string
  readonly serviceName: string
  readonly softwareVersion: string
}

/** Streams have begun in a service with several software versions; the agent remembers it for a while. */
export interface StreamsBegan {
  readonly type: 'streamsBegan'
  readonly origins: readonly StreamOrigin[]
}

/** A router asks at which software version a stream began. */
export interface OriginAsked {
  readonly type: 'originAsked'
  readonly askId: number
  readonly streamId: string
  readonly serviceName: string
}

/** Answer to `OriginAsked`; no version if the agent does not know. An agent that has started again has forgotten what it was told. */
export interface OriginAnswered {
  readonly type: 'originAnswered'
  readonly askId: number
  readonly softwareVersion: string | undefined
  /** Time for which the agent has remembered all that it was told. */
  readonly rememberedForMs: number
}

/** The organisations whose requests the agent counts for this router from now on; replaces the list sent before. */
export interface LimiterChosen {
  readonly type: 'limiterChosen'
  readonly organisations: readonly string[]
  /** Highest router count that agents have reported to the sender. */
  readonly routerCount: number
}

/** A router asks for units of an organisation's limit, for one request. */
export interface UnitsAsked {
  readonly type: 'unitsAsked'
  readonly askId: number
  readonly organisation: string
  readonly units: number
  /** Longest time that the request may wait for the units. */
  readonly maxWaitMs: number
}

/** Returns the units of a request that was not run; a negative count charges a request that runs again. */
export interface UnitsReturned {
  readonly type: 'unitsReturned'
  readonly organisation: string
  readonly units: number
}

/** Answer to `UnitsAsked`. */
export interface UnitsAnswered {
  readonly type: 'unitsAnswered'
  readonly askId: number
  /** `unknown`: the agent does not count this organisation for the router. */
  readonly outcome: 'taken' | 'refused' | 'unknown'
  /** Time until the taken units may be used, or until refused units would be available. */
  readonly waitMs: number
}

export type RouterMessage =
  | Heartbeat | Want | WantDropped | DeploymentAsked | DeploymentPiece | DeploymentHeld | Demand | ListRead | CrashNotice | ServerLimitNotice | ServerLeavingNotice | StreamsBegan | OriginAsked | LimiterChosen | UnitsAsked | UnitsReturned

/** Full state of an agent's server. Sent when a link is opened. */
export interface AgentState extends ServerStart {
  readonly type: 'state'
  /** Empty until the agent has identified the running start of the server. */
  readonly serverId: string
  /** Earlier starts of the server, which are gone although they may still be listed. */
  readonly goneStarts: readonly ServerStart[]
  readonly isUp: boolean
  readonly isDraining: boolean
  readonly models: readonly HeldModel[]
  /** Models that accept no new requests because they are about to be unloaded. */
  readonly leavingModels: readonly string[]
  /** Model that is being loaded; empty for none. */
  readonly loadingModel: string
  /** The load comes from the weight store: the engine accepts no other order for seconds. */
  readonly isLoadingCold: boolean
  /** Estimated time until the load ends. */
  readonly loadingLeftMs: number
  /** Time since the engine began the load; 0 when it has not begun. */
  readonly loadingForMs: number
  /** Time until the agent may begin another load from the weight store. */
  readonly coldWaitMs: number
  /** Estimated time to make room for another model. */
  readonly roomMs: number
  /** Model that the engine loads from the weight store next, as soon as the agent has a lease for it; empty for none. */
  readonly nextColdModel: string
  /** Models that are wanted and whose load has not begun, in order. */
  readonly queuedModels: readonly string[]
  readonly inMemory: readonly string[]
  readonly onDisk: readonly string[]
  /** Number of requests that would be late because of the cheapest eviction. */
  readonly evictionLoss: number
  /** Demand of all routers for each of `models`, in the same order, in prompt tokens per second. */
  readonly demandTokensPerS: readonly number[]
  /** Number of routers that are linked to the agent, or were a short while ago. */
  readonly routerCount: number
  /** Version of the newest configuration that the agent has received; -1 for none. */
  readonly deploymentVersion: number
  /** The agent's reads of the configuration succeed. */
  readonly followsDeployments: boolean
}

/** Fields of an agent's state that have changed since the last message about it. */
export interface AgentStateChange {
  readonly type: 'stateChange'
  readonly changes: Partial<Omit<AgentState, 'type'>>
}

/** Load of an agent's server, sent a few times a second while it changes. */
export interface AgentLoad {
  readonly type: 'load'
  readonly runningCount: number
  /** Requests that have not produced their first event, including queued ones. */
  readonly startingCount: number
}

/** Outcome of a want. */
export interface WantSettled {
  readonly type: 'wantSettled'
  readonly wantId: number
  readonly isReady: boolean
  /** The engine or its agent became unavailable: another engine may still load the model in time. */
  readonly isLost: boolean
  readonly reason: string
}

export type AgentMessage = Heartbeat | AgentState | AgentStateChange | AgentLoad | WantSettled | DeploymentAsked | DeploymentPiece | ListRead | CrashNotice | ServerLimitNotice | ServerLeavingNotice | OriginAnswered | UnitsAnswered
