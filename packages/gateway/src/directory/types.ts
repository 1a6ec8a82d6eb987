import type { Unsubscribe } from '@figmount/base'
import type { FailureShare } from '@figmount/decisions'
import type { AgentState, AgentLoad, FeedRecord, ServerEntry, ServerStart } from '@figmount/fleet'
import type { MissingEntries } from './createMissingEntries.js'
import type { OwnRequests } from './createOwnRequests.js'
import type { PrefixIndex } from './createPrefixIndex.js'

/** What a router knows of one backend server. */
export interface KnownServer {
  /** As listed; without models when the list names those of an earlier start. */
  readonly entry: ServerEntry
  /** Its newest start that was heard of. */
  readonly start: ServerStart
  /** The agent's newest word; undefined while no agent answers for this start of the server. */
  readonly state: AgentState | undefined
  readonly load: AgentLoad | undefined
  /** The agent speaks for a later start of the server: this one is gone, though it is still listed. */
  readonly isReplaced: boolean
  /** When `state` came: the times in it count from then. */
  readonly stateAsOfMs: number
  readonly failures: FailureShare
  /** Own requests there that have no final answer. */
  readonly ownCount: number
  /** Own requests there without a first event. */
  readonly ownStartingCount: number
  /** Prompt tokens of own requests there that have no first event. */
  readonly pendingTokens: number
}

/** Hears of what an agent tells of the engine at an address. */
export type StateListener = (address: string, state: AgentState) => void

/** All backend servers that a router knows, by the platform's list, the agents' word and its own requests. */
export interface Directory {
  readonly takeRecords: (records: readonly FeedRecord[]) => void
  /** The list was read whole: servers that are missing have gone. */
  readonly takeKeys: (keys: ReadonlySet<string>) => void
  /** What is missing in the list because of an outage of the store. */
  readonly missingEntries: MissingEntries
  readonly takeState: (address: string, state: AgentState) => void
  readonly takeLoad: (address: string, load: AgentLoad) => void
  readonly loseAgent: (address: string) => void
  /** Calls a listener with each state that an agent tells, after it was taken in. */
  readonly onState: (listener: StateListener) => Unsubscribe
  /** Servers of a service that may get new requests. */
  readonly serving: (serviceName: string) => readonly KnownServer[]
  readonly find: (serverId: string) => KnownServer | undefined
  /**
   * This start of the server has ended or was replaced, by its agent's word or a later start, whether it is still listed or
   * not; one that is only unlisted may still finish what it runs.
   */
  readonly isDead: (start: ServerStart) => boolean
  /** This start of the server, at which a run broke off then, had been known to leave before it ended: it drained or was no longer listed. */
  readonly hasExitedGracefully: (start: ServerStart, brokenMs: number) => boolean
  /** Addresses of engines whose agents wait for the end of a model's requests. */
  readonly leavingAddresses: () => Iterable<string>
  readonly hasLeaving: () => boolean
  /** Servers that are listed for a service of the configuration in force. */
  readonly entries: () => readonly ServerEntry[]
  /** When the agent beside the engine at an address was last heard; -Infinity where none is. */
  readonly lastMessageMs: (address: string) => number
  /** The newest starts of these. */
  readonly starts: () => readonly ServerStart[]
  readonly failureShareOf: (server: KnownServer) => number
  /** Models of own requests that run at an address. */
  readonly runningModels: (address: string) => readonly string[]
  readonly own: OwnRequests
  readonly noteOutcome: (start: ServerStart, hasFailed: boolean) => void
  /** The address belongs to another server now. */
  readonly noteReplaced: (start: ServerStart) => void
  readonly prefixes: PrefixIndex
  readonly hasList: () => boolean
}
