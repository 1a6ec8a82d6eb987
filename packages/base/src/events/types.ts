import type { InstanceName } from '../ids/types.js'

/** One kind of event. Numbers are unique over all binaries and never reused. */
export interface EventKind {
  readonly number: number
  readonly name: string
  /** What happened, one line, for docs/EVENTS.md. */
  readonly text: string
}

/** Everything an event may carry. Units are in the names. */
export interface EventFields {
  readonly caller?: string
  /** Name of the organisation that holds the caller's key. */
  readonly organisation?: string
  readonly requestKey?: string
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
  readonly tokenCount?: number
  readonly durationMs?: number
  readonly waitMs?: number
  readonly retryAfterMs?: number
  /** Age of the knowledge that decided. */
  readonly ageMs?: number
  readonly statusCode?: number
  readonly memoryMb?: number
  readonly memoryCapacityMb?: number
  readonly repeatable?: boolean
  readonly maxReplicas?: number
}

/** One event as it is written, one JSON object a line. */
export interface EventRecord extends EventFields {
  readonly number: number
  readonly name: string
  readonly instance: InstanceName
  readonly role: string
  /** Counts from 0 within one process; a gap shows a lost line. */
  readonly sequence: number
  /** Lamport clock: an event that another one caused has the greater value. */
  readonly clock: number
  readonly atUnixMs: number
}

/** Where the parts of a process report what happens. */
export interface EventLog {
  readonly emit: (kind: EventKind, fields?: EventFields) => void
  /** The Lamport clock to send along with a message. */
  readonly tick: () => number
  /** Takes in the Lamport clock that came with a message. */
  readonly witness: (clock: number) => void
  /** The most recent events, oldest first. */
  readonly recent: () => readonly EventRecord[]
  readonly subscribe: (listen: (event: EventRecord) => void) => () => void
}
