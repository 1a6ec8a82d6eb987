import type { PackedMessage } from '@figmount/peers'
import type { AgentLoad, AgentState, DeploymentAsked, DeploymentPiece, ListRead, OriginAnswered, RouterMessage, UnitsAnswered } from '@figmount/fleet'
import type { RouterNotice } from '../routerFeed/types.js'

/** The outcome of a want, which is a router's request to an agent to have a model or an adapter loaded. */
export interface WantOutcome {
  readonly isReady: boolean
  /** The engine or its agent went down. */
  readonly isLost: boolean
  readonly reason: string
}

/** The content of a want: the model or adapter to load, and how urgently the router's callers need it. */
export interface WantRequest {
  readonly serverId: string
  readonly modelName: string
  readonly adapterName: string
  readonly waitingCount: number
  /** Requests of the next seconds that would be late without it, besides those that wait. */
  readonly lateCount: number
  /** Time for which requests for the model were not served. */
  readonly unmetForMs?: number
  readonly timeLeftMs: number
}

/** A want that was sent to an agent. */
export interface OpenWant {
  readonly outcome: Promise<WantOutcome>
  /** Withdraws the want: no request waits for it any more. */
  readonly drop: (reason: string) => void
}

/** Receivers of an agent's messages. */
export interface AgentHandlers {
  readonly takeState: (address: string, state: AgentState) => void
  readonly takeLoad: (address: string, load: AgentLoad) => void
  /** The agent asks for a piece of the router's configuration. */
  readonly takeDeploymentAsked: (address: string, asked: DeploymentAsked) => void
  readonly takeDeploymentPiece: (address: string, piece: DeploymentPiece) => void
  /** `mayBeStale`: the message may have been delayed for longer than the age it states. */
  readonly takeListRead: (read: ListRead, mayBeStale: boolean) => void
  /** The agent passes on what another router tells all others. */
  readonly takeNotice: (notice: RouterNotice) => void
  readonly takeOrigin: (address: string, answer: OriginAnswered) => void
  readonly takeUnits: (address: string, answer: UnitsAnswered) => void
  /** The link was opened. */
  readonly found: (address: string) => void
  readonly lost: (address: string) => void
}

/** A link to one agent that is reopened whenever it breaks. */
export interface AgentLink {
  readonly want: (request: WantRequest) => OpenWant
  readonly send: (message: RouterMessage) => boolean
  readonly sendPacked: (message: PackedMessage<RouterMessage>) => void
  readonly isOpen: () => boolean
  /** True at the first call after each opening of the link. */
  readonly takeIsNew: () => boolean
  /** The agent has sent its engine's state since the link was opened. */
  readonly hasState: () => boolean
  readonly close: () => void
}
