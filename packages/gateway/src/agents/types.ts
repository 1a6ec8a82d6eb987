import type { AgentLoad, AgentState, Relay, RouterMessage } from '@figmount/fleet'

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
  /** Requests a second that a replica ahead of requests relieves. */
  readonly gainPerS: number
  readonly timeLeftMs: number
}

/** Where an agent's messages go. */
export interface AgentHandlers {
  readonly takeState: (address: string, state: AgentState) => void
  readonly takeLoad: (address: string, load: AgentLoad) => void
  readonly takeRelay: (relay: Relay) => void
  readonly takeCrash: (requestHash: string, serverId: string) => void
  readonly lost: (address: string) => void
}

/** A link to one agent that is opened again whenever it breaks. */
export interface AgentLink {
  readonly want: (request: WantRequest) => Promise<WantOutcome>
  readonly send: (message: RouterMessage) => boolean
  readonly isOpen: () => boolean
  readonly close: () => void
}
