import type { ServerStart } from '../servers/types.js'

/** What a caller's resent request has in common with its first one, whose request id differs. */
export interface RequestIdentity {
  /** Hash of host, request line and body. */
  readonly contentHash: string
  /** The caller's organisation and address. */
  readonly callerId: string
}

/** A request that was running when its backend server died. */
export interface Crash {
  readonly identity: RequestIdentity
  readonly start: ServerStart
  /** Time since the run ended. */
  readonly ageMs: number
}

/** A request that got a complete answer from a backend server, so that servers do not die of it. */
export interface AnsweredRequest {
  readonly identity: RequestIdentity
  /** Time since the answer. */
  readonly ageMs: number
}
