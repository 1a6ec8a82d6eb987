import type { InstanceName } from '../ids/types.js'

/** A kind of event. Numbers are unique across all binaries and never reused. */
export interface EventKind {
  readonly number: number
  readonly name: string
  /** One-line description for docs/EVENTS.md. */
  readonly text: string
}

/** All optional fields of an event; names end in the unit. */
export interface EventFields {
  readonly caller?: string
  /** Organisation that owns the caller's key. */
  readonly organisation?: string
  readonly requestKey?: string
  /** Start of the hash by which a request is recognised when its caller resends it under another id. */
  readonly requestHash?: string
  /** Parts of a prompt that requests share, in order; the newest ones are left out of a long list. */
  readonly promptParts?: readonly string[]
  readonly attemptId?: string
  readonly service?: string
  readonly model?: string
  readonly adapter?: string
  readonly version?: string
  readonly slotIndex?: number
  readonly fence?: number
  readonly offset?: number
  readonly peer?: string
  readonly step?: string
  readonly reason?: string
  readonly runState?: string
  readonly detail?: string
  readonly item?: string
  readonly count?: number
  /** Others of the same kind in progress, and how many may be. */
  readonly concurrentCount?: number
  readonly maxCount?: number
  /** Retries that a process has sent for a service within the budget's window, how many it may send, and how many have no answer yet. */
  readonly retryCount?: number
  readonly maxRetryCount?: number
  readonly unansweredCount?: number
  /** Routers that share a limit, as far as the process knows. */
  readonly routerCount?: number
  /** Time since the process started. */
  readonly upForMs?: number
  /** Time for which other processes have counted this one. */
  readonly countedForMs?: number
  /** Number of the heartbeat that wrote an entry of a backend server. */
  readonly heartbeatNumber?: number
  readonly tokenCount?: number
  readonly limitPerS?: number
  readonly durationMs?: number
  readonly waitMs?: number
  readonly retryAfterMs?: number
  /** Time that the process took to read what had arrived at its connections, before work on a request or a send. */
  readonly readWaitMs?: number
  /** Time since a request's last send to a server that still had it; left out if none had it. */
  readonly sentForMs?: number
  /** Age of the information on which a decision was based. */
  readonly ageMs?: number
  readonly statusCode?: number
  /** How the server marked the end of an answer, and how the router did so for its caller: a length, chunks or the end of the connection. */
  readonly framing?: string
  readonly callerFraming?: string
  /** What shows that an answer is complete. */
  readonly endProof?: string
  /** Ids of a stream's events: the last one that its caller has, and the first ones that each run added. */
  readonly lastEventId?: string
  readonly runStarts?: readonly string[]
  /** Time until the end of a stop that was requested. */
  readonly stopEndsInMs?: number
  readonly memoryMb?: number
  readonly memoryCapacityMb?: number
  readonly repeatable?: boolean
  readonly maxReplicas?: number
}

/** An event as it is written: one JSON object per line. */
export interface EventRecord extends EventFields {
  readonly number: number
  readonly name: string
  readonly instance: InstanceName
  readonly role: string
  /** Sequence number within one process, from 0; a gap means that a line was lost. */
  readonly sequence: number
  /** Lamport clock: greater than that of any event which caused this one. */
  readonly clock: number
  readonly atUnixMs: number
}

/** Log to which all parts of a process emit their events. */
export interface EventLog {
  readonly emit: (kind: EventKind, fields?: EventFields) => void
  /** Advances the Lamport clock and returns the value to send with a message. */
  readonly tick: () => number
  /** Advances the Lamport clock past the value received with a message. */
  readonly witness: (clock: number) => void
  /** Returns the most recent events, oldest first. */
  readonly recent: () => readonly EventRecord[]
  readonly subscribe: (listen: (event: EventRecord) => void) => () => void
}
