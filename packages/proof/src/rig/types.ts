import type { EventRecord } from '@figmount/base'

/** Sections of an INI file. */
export type IniSections = Readonly<Record<string, Readonly<Record<string, string | number | boolean>>>>

/** Binaries in `dist/` that a rig can start. */
export type BinaryName = 'figmount-router' | 'figmount-agent' | 'figmount-standin'

/** Name, binary and settings of a process to start. */
export interface ProcessPlan {
  readonly name: string
  readonly binary: BinaryName
  readonly sections: IniSections
  /** Arguments for Node itself. */
  readonly nodeArguments?: readonly string[]
}

/** Exit code or signal of an ended process. */
export interface ExitReport {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** A process started by the rig; `restart` starts it again with the same name and port. */
export interface RigProcess {
  readonly name: string
  /** The host:port it listens on. */
  readonly address: string
  /** The host:port of its control API; differs from `address` only for proxies. */
  readonly controlAddress: string
  readonly pid: () => number
  readonly isRunning: () => boolean
  readonly kill: () => Promise<ExitReport>
  readonly pause: () => void
  readonly resume: () => void
  /** Sends SIGTERM and waits for the exit. */
  readonly stop: () => Promise<ExitReport>
  /** Resolves when the process has exited for any reason. */
  readonly ended: () => Promise<ExitReport>
  readonly restart: () => Promise<void>
  /** Posts a command to the control API of a stand-in. */
  readonly command: (command: object) => Promise<unknown>
  /** Reads the state of a stand-in through its control API. */
  readonly dump: () => Promise<Record<string, unknown>>
  readonly errorText: () => string
}

export type EventMatch = (event: EventRecord) => boolean

/** Events of all processes of a rig, in order of receipt. */
export interface EventStore {
  readonly add: (event: EventRecord) => void
  readonly all: () => readonly EventRecord[]
  /** Number of events so far; as `sinceMark` it limits `waitFor` to later events. */
  readonly mark: () => number
  readonly waitFor: (match: EventMatch, what: string, options?: WaitOptions) => Promise<EventRecord>
  readonly close: () => void
}

export interface WaitOptions {
  readonly sinceMark?: number
  readonly timeoutMs?: number
}

/** Starts processes, collects their events and ends them on close. */
export interface Rig {
  readonly folder: string
  readonly events: EventStore
  readonly start: (plan: ProcessPlan) => Promise<RigProcess>
  readonly processes: () => readonly RigProcess[]
  /** Waits until `check` returns true, polling every POLL_MS. */
  readonly waitUntil: (what: string, check: () => Promise<boolean> | boolean, timeoutMs?: number) => Promise<void>
  readonly close: () => Promise<void>
}
