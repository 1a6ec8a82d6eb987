/** What the product asks of a platform; an adapter fills it in. */
import type { Either, EitherAsync } from 'purify-ts'
import type { Fault } from '@figmount/base'
import type { Deployment } from '../deployment/types.js'
import type { KeyedFeed } from '../feeds/types.js'
import type { ServerEntry, ServerReport } from '../servers/types.js'

/** One part of a prompt, shared with other requests or not. */
export interface PromptPart {
  readonly partId: string
  readonly tokenCount: number
}

/** What a caller's headers say of its request. */
export interface CallerRequest {
  readonly requestId: string
  /** Undefined when the caller names none. */
  readonly deadlineMs: number | undefined
  readonly modelName: string
  readonly adapterName: string
  readonly promptTokens: number
  /** Most tokens that may come out; undefined when the caller counts no tokens. */
  readonly outputTokens: number | undefined
  /** Digest of the caller's key; empty without one. */
  readonly keyDigest: string
  readonly promptParts: readonly PromptPart[]
  /** Last event that the caller has, empty for a new stream. */
  readonly lastEventId: string
}

/** What figmount adds to a request on its way to a backend server. */
export interface ForwardFields {
  readonly serverId: string
  readonly deadlineMs: number
  readonly priority: number
  /** Empty for a request that belongs to none. */
  readonly organisationName: string
  /** Event after which the server goes on; empty for the beginning. */
  readonly lastEventId: string
}

/** What a backend server's headers say of its answer. */
export interface ServerAnswer {
  readonly requestId: string
  readonly serverId: string
  /** The server states that it has not run the request and never will. */
  readonly isNotRun: boolean
}

/** Names and values as they came, one after the other. */
export type RawHeaders = readonly string[]

/** Translates headers between the platform's form and figmount's. */
export interface HeaderCodec {
  readonly decodeRequest: (headers: RawHeaders) => Either<Fault, CallerRequest>
  readonly encodeForward: (headers: RawHeaders, fields: ForwardFields) => RawHeaders
  readonly decodeAnswer: (headers: RawHeaders) => ServerAnswer
  /** The server's headers that its caller gets. */
  readonly encodeAnswer: (headers: RawHeaders) => RawHeaders
  readonly encodeRefusal: (requestId: string, retryAfterMs: number) => RawHeaders
}

/** What an order is about. */
export interface Order {
  readonly operation: 'load' | 'unload'
  readonly modelName: string
  readonly adapterName: string
  /** The server carries the order out only if it has accepted just so many. */
  readonly expectedOrderCount: number
}

/** What a server answered to an order. */
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
  /** Asks the server for its id, by the health check of its service. */
  readonly readServerId: (healthPath: string, timeoutMs: number) => EitherAsync<Fault, string>
  readonly readReport: (timeoutMs: number) => EitherAsync<Fault, ServerReport>
  readonly sendOrder: (serverId: string, order: Order, timeoutMs: number) => EitherAsync<Fault, OrderAnswer>
}

/** The platform's store. */
export interface StorePort {
  readonly deploymentFeed: KeyedFeed
  readonly serverFeed: KeyedFeed
  /** Undefined for a record of another key. */
  readonly decodeDeployment: (key: string, value: Uint8Array) => Either<Fault, Deployment>
  readonly isDeploymentKey: (key: string) => boolean
  readonly decodeServer: (key: string, value: Uint8Array) => Either<Fault, ServerEntry>
}
