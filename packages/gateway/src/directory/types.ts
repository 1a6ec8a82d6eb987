import type { Unsubscribe } from '@figmount/base'
import type { FailureShare } from '@figmount/decisions'
import type { AgentState, AgentLoad, FeedRecord, ServerEntry, ServerStart } from '@figmount/fleet'
import type { MissingEntries } from './createMissingEntries.js'
import type { LoneVersion } from './createSoftwareVersions.js'
import type { Leavings } from '../leavings/createLeavings.js'
import type { LeftStart } from '../leavings/types.js'
import type { RecordedVersions } from '../origins/versionRecords.js'
import type { OwnRequests } from './createOwnRequests.js'
import type { PrefixIndex } from './createPrefixIndex.js'

/** A router's view of one backend server. */
export interface KnownServer {
  /** The server's entry in the list; without its models if the entry is from an earlier start. */
  readonly entry: ServerEntry
  /** The newest known start of the server: one run of its process, until it exits or restarts. */
  readonly start: ServerStart
  /** The agent's latest state; undefined if no agent reports on this start of the server. */
  readonly state: AgentState | undefined
  readonly load: AgentLoad | undefined
  /** The agent reports a later start, or another server at this address: this start is gone although it is still listed. */
  readonly isReplaced: boolean
  /** Arrival time of `state`; durations in `state` are counted from it. */
  readonly stateAsOfMs: number
  readonly failures: FailureShare
  /** Own requests to the server that have no final answer yet. */
  readonly ownCount: number
  /** Own requests to the server that have no first event yet. */
  readonly ownStartingCount: number
  /** Prompt tokens of own requests to the server that have no first event yet. */
  readonly pendingTokens: number
}

/** Called with each state that an agent reports for the engine at an address. */
export type StateListener = (address: string, state: AgentState) => void

/** All backend servers known to a router: from the platform's list, the agents' reports and its own requests. */
export interface Directory {
  readonly takeRecords: (records: readonly FeedRecord[]) => void
  /** Takes the records of a store that has come back from an older copy: they show no server that is known to have left since. */
  readonly takeCopy: (records: readonly FeedRecord[]) => void
  /** The whole list was read: servers that are not in it are gone. */
  readonly takeKeys: (keys: ReadonlySet<string>) => void
  /** Entries that are missing because of an outage of the store. */
  readonly missingEntries: MissingEntries
  /** Takes the state that the agent of the engine at an address reports. */
  readonly takeState: (address: string, state: AgentState) => void
  readonly takeLoad: (address: string, load: AgentLoad) => void
  readonly loseAgent: (address: string) => void
  /** Calls a listener with each state that an agent reports, after the directory was updated. */
  readonly onState: (listener: StateListener) => Unsubscribe
  /** Servers of a service that may get new requests. */
  readonly serving: (serviceName: string) => readonly KnownServer[]
  readonly find: (serverId: string) => KnownServer | undefined
  /** Software versions of the service's servers, of those listed now and of those that were listed a short while ago. */
  readonly versionsOf: (serviceName: string) => ReadonlySet<string>
  /** Takes the versions that routers had recorded when this one started. */
  readonly takeVersions: (recorded: readonly RecordedVersions[]) => void
  /** False before that: servers of further versions may have gone just before. */
  readonly knowsVersions: () => boolean
  /** The version that served alone in the service before others came, if that matters still. */
  readonly loneVersionOf: (serviceName: string) => LoneVersion | undefined
  /**
   * This start of the server has ended or was replaced, as its agent or a later start shows, whether it is still listed or not. A server
   * that merely disappeared from the list may still finish its requests.
   */
  readonly isDead: (start: ServerStart) => boolean
  /** This start of the server is draining or not listed any more, and no other one has shown up in its place. */
  readonly isLeaving: (start: ServerStart) => boolean
  /** True if this start of a server, on which a run was interrupted at `brokenMs`, was draining or unlisted for a while before it ended. */
  readonly hasExitedGracefully: (start: ServerStart, brokenMs: number) => boolean
  /** Addresses of engines whose agents wait for the end of a model's requests to unload it. */
  readonly leavingAddresses: () => Iterable<string>
  /** True if `leavingAddresses` is not empty. */
  readonly hasLeaving: () => boolean
  /** Listed servers of services in the configuration in force. */
  readonly entries: () => readonly ServerEntry[]
  /** Time of the latest message from the agent of the engine at an address; -Infinity without a link to one. */
  readonly lastMessageMs: (address: string) => number
  /** The newest known starts of the servers in `entries`. */
  readonly starts: () => readonly ServerStart[]
  readonly failureShareOf: (server: KnownServer) => number
  /** Models of own requests that run on the engine at an address. */
  readonly runningModels: (address: string) => readonly string[]
  readonly own: OwnRequests
  /** Updates the failure share of a server, unless it has restarted since. */
  readonly noteOutcome: (start: ServerStart, hasFailed: boolean) => void
  /** The server says that it leaves: it gets no new requests, whatever the list says; `source` is logged. Returns false if that is known. */
  readonly noteLeaving: (start: ServerStart, source: string) => boolean
  /** Takes what is recorded of a server that has left; `source` is logged. Returns false if that is known. */
  readonly noteLeft: (left: LeftStart, source: string) => boolean
  /** The servers that are known to have left. */
  readonly leavings: Leavings
  /** Another server has taken over the address. */
  readonly noteReplaced: (start: ServerStart) => void
  readonly prefixes: PrefixIndex
  /** True once the list was read. */
  readonly hasList: () => boolean
}
