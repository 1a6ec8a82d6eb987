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

/** A part of prompts that ran on a server which died. */
export interface PartRun {
  readonly partId: string
  /** Time since the latest run with it was sent. */
  readonly sentAgeMs: number
  /** Time since the latest run with it was sent that proves it harmless at that time; undefined if none is known. */
  readonly provenAgeMs: number | undefined
  /** Key of the latest start that had died with the part before that run was sent, as its router saw it; undefined if none is known. */
  readonly sentAfter: string | undefined
}

/** The death of a backend server and the shared parts of prompts that it had begun to answer, or was about to. */
export interface PartDeath {
  readonly start: ServerStart
  /** Time since the runs ended. */
  readonly ageMs: number
  readonly parts: readonly PartRun[]
}

/** A backend server has written on a prompt with the part for a while and has not died of it. */
export interface PartProof {
  readonly partId: string
  /** Time since that run was sent. */
  readonly sentAgeMs: number
}
