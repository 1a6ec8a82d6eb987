/** The interfaces through which figmount uses a platform; each platform has an adapter that implements them. */
import type { Either, EitherAsync } from 'purify-ts'
import type { Fault } from '@figmount/base'
import type { Deployment } from '../deployment/types.js'
import type { CheckedFeed, KeyedFeed, WritableFeed } from '../feeds/types.js'
import type { ServerEntry, ServerReport } from '../servers/types.js'

/** One part of a prompt. Requests with the same part share its id. */
export interface PromptPart {
  readonly partId: string
  readonly tokenCount: number
}

/** A caller's request as described by its headers. */
export interface CallerRequest {
  readonly requestId: string
  /** Undefined when the caller sends none. */
  readonly deadlineMs: number | undefined
  readonly modelName: string
  readonly adapterName: string
  readonly promptTokens: number
  /** Most tokens that the answer may have; undefined when the caller sends no token counts. */
  readonly outputTokens: number | undefined
  /** Digest of the caller's key; empty when it sends none. */
  readonly keyDigest: string
  readonly promptParts: readonly PromptPart[]
  /** Id of the caller's earlier request whose answer began the stream that it takes up again; empty if it names none. */
  readonly resumes: string
  /** Id of the last event that the caller has received; empty for a new stream. */
  readonly lastEventId: string
}

/** Fields that figmount adds to a request to a backend server. */
export interface ForwardFields {
  readonly serverId: string
  readonly deadlineMs: number
  readonly priority: number
  /** Empty for a request that belongs to no organisation. */
  readonly organisationName: string
  /** Event after which the server continues the stream; empty to begin with the first one. */
  readonly lastEventId: string
}

/** What an answer says of the number of requests that its server takes from all routers together. */
export type NamedLimit =
  | { readonly type: 'none' }
  | { readonly type: 'named', readonly requestsPerS: number }
  | { readonly type: 'unreadable' }

/** A backend server's answer as described by its headers. */
export interface ServerAnswer {
  readonly requestId: string
  readonly serverId: string
  /** The answer bears a server's signature, as each success does. */
  readonly isSigned: boolean
  /** The server states that it has not run the request and will not run it. */
  readonly isNotRun: boolean
  /** The server states that it leaves: it takes no new requests from now on. */
  readonly isLeaving: boolean
  /** Time for which a server that turns the request away wants no others from this router; 0 for none. */
  readonly restMs: number
  readonly limit: NamedLimit
}

/** Header names and values in alternation, in the order received. */
export type RawHeaders = readonly string[]

/** Translates headers between the platform's format and figmount's. */
export interface HeaderCodec {
  readonly decodeRequest: (headers: RawHeaders) => Either<Fault, CallerRequest>
  readonly encodeForward: (headers: RawHeaders, fields: ForwardFields) => RawHeaders
  readonly decodeAnswer: (headers: RawHeaders) => ServerAnswer
  /** Selects the server's headers that are passed to the caller. */
  readonly encodeAnswer: (headers: RawHeaders) => RawHeaders
  readonly encodeRefusal: (requestId: string, retryAfterMs: number) => RawHeaders
}

/** An order to load or unload a model or an adapter. */
export interface Order {
  readonly operation: 'load' | 'unload'
  readonly modelName: string
  readonly adapterName: string
  /** The server carries the order out only if it has accepted exactly this many orders. */
  readonly expectedOrderCount: number
}

/** A server's answer to an order. */
export const OrderAnswer = {
  Accepted: 'accepted',
  AlreadyDone: 'already_done',
  Conflict: 'conflict',
  OtherServer: 'other_server',
  Rejected: 'rejected'
} as const

export type OrderAnswer = typeof OrderAnswer[keyof typeof OrderAnswer]

/** The engine beside an agent. */
export interface EnginePort {
  /** Reads the server's id from the health check of its service. */
  readonly readServerId: (healthPath: string, timeoutMs: number) => EitherAsync<Fault, string>
  readonly readReport: (timeoutMs: number) => EitherAsync<Fault, ServerReport>
  readonly sendOrder: (serverId: string, order: Order, timeoutMs: number) => EitherAsync<Fault, OrderAnswer>
}

/** The platform's store. */
export interface StorePort {
  readonly deploymentFeed: CheckedFeed
  readonly serverFeed: KeyedFeed
  /** Calls back when the store has come back from an older copy: what was written last may be gone. Returns a function that ends it. */
  readonly onRestored: (listener: () => void) => () => void
  /** Decodes a record whose key is accepted by `isDeploymentKey`; a fault for a malformed one. */
  readonly decodeDeployment: (key: string, value: Uint8Array) => Either<Fault, Deployment>
  readonly isDeploymentKey: (key: string) => boolean
  readonly decodeServer: (key: string, value: Uint8Array) => Either<Fault, ServerEntry>
}

/** The platform's store as routers use it. */
export interface RouterStorePort extends StorePort {
  /** What routers tell each other where no agent runs; they write it. */
  readonly routerFeed: WritableFeed
  /** The software versions that were in service of late; routers write them. */
  readonly versionFeed: WritableFeed
  /** Starts of servers that have left; routers write them. */
  readonly leavingFeed: WritableFeed
}

/** The platform's store as agents use it. */
export interface AgentStorePort extends StorePort {
  /** Leases for loads from the weight store; agents write them. */
  readonly leaseFeed: WritableFeed
}
