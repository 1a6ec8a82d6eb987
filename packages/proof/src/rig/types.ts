import type { EventRecord } from '@figmount/base'

/** Sections of an INI file. */
export type IniSections = Readonly<Record<string, Readonly<Record<string, string | number | boolean>>>>

/** The binaries under `dist/` that a rig starts. */
export type BinaryName = 'figmount-router' | 'figmount-agent' | 'figmount-standin'

/** What a process is started with. */
export interface ProcessPlan {
  readonly name: string
  readonly binary: BinaryName
  readonly sections: IniSections
}

/** How a process ended. */
export interface ExitReport {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** A process that the rig started; `restart` begins it anew under the same name and port. */
export interface RigProcess {
  readonly name: string
  /** host:port it listens on. */
  readonly address: string
  /** host:port of its control surface; the same as `address` but for proxies. */
  readonly controlAddress: string
  readonly pid: () => number
  readonly isRunning: () => boolean
  readonly kill: () => Promise<ExitReport>
  readonly pause: () => void
  readonly resume: () => void
  /** Asks for a graceful stop and waits for the end. */
  readonly stop: () => Promise<ExitReport>
  /** Resolves when the process has ended by whatever cause. */
  readonly ended: () => Promise<ExitReport>
  readonly restart: () => Promise<void>
  /** Sends one command to a stand-in's control surface. */
  readonly command: (command: object) => Promise<unknown>
  /** Reads the state of a stand-in. */
  readonly dump: () => Promise<Record<string, unknown>>
  readonly errorText: () => string
}

export type EventMatch = (event: EventRecord) => boolean

/** Events of all processes of a rig in order of receipt. */
export interface EventStore {
  readonly add: (event: EventRecord) => void
  readonly all: () => readonly EventRecord[]
  /** Number of events so far; pass it to `waitFor` to look only at later ones. */
  readonly mark: () => number
  readonly waitFor: (match: EventMatch, what: string, options?: WaitOptions) => Promise<EventRecord>
  readonly close: () => void
}

export interface WaitOptions {
  readonly sinceMark?: number
  readonly timeoutMs?: number
}

/** Starts processes, gathers their events and ends whatever it started. */
export interface Rig {
  readonly folder: string
  readonly events: EventStore
  readonly start: (plan: ProcessPlan) => Promise<RigProcess>
  readonly processes: () => readonly RigProcess[]
  /** Waits until `check` holds; asks again every POLL_MS. */
  readonly until: (what: string, check: () => Promise<boolean> | boolean, timeoutMs?: number) => Promise<void>
  readonly close: () => Promise<void>
}
