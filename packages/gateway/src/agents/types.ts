import type { PackedMessage } from '@figmount/peers'
import type { AgentLoad, AgentState, Crash, ListRead, Relay, RouterMessage, UnitsAnswered } from '@figmount/fleet'

/** What became of a want. */
export interface WantOutcome {
  readonly isReady: boolean
  /** The engine or its agent went away. */
  readonly isLost: boolean
  readonly reason: string
}

/** What a router wants of an agent. */
export interface WantRequest {
  readonly serverId: string
  readonly modelName: string
  readonly adapterName: string
  readonly waitingCount: number
  /** Requests of the next seconds that are late without it, beside those that wait. */
  readonly lateCount: number
  /** Time for which callers have asked for it in vain. */
  readonly unmetForMs?: number
  readonly timeLeftMs: number
}

/** A want that an agent was told of. */
export interface OpenWant {
  readonly outcome: Promise<WantOutcome>
  /** Takes it back: nobody waits for it any more. */
  readonly drop: (reason: string) => void
}

/** Where an agent's messages go. */
export interface AgentHandlers {
  readonly takeState: (address: string, state: AgentState) => void
  readonly takeLoad: (address: string, load: AgentLoad) => void
  readonly takeRelay: (relay: Relay) => void
  /** `mayBeOld`: it may have been held up on its way for longer than it says. */
  readonly takeListRead: (read: ListRead, mayBeStale: boolean) => void
  readonly takeCrash: (crash: Crash) => void
  readonly takeUnits: (address: string, answer: UnitsAnswered) => void
  readonly lost: (address: string) => void
}

/** A link to one agent that is opened again whenever it breaks. */
export interface AgentLink {
  readonly want: (request: WantRequest) => OpenWant
  readonly send: (message: RouterMessage) => boolean
  readonly sendPacked: (message: PackedMessage<RouterMessage>) => void
  readonly isOpen: () => boolean
  /** True at the first call after each opening of the link. */
  readonly takeIsNew: () => boolean
  /** The agent has told its engine's state since the link was opened. */
  readonly hasState: () => boolean
  readonly close: () => void
}
