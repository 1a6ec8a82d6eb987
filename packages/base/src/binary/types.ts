import type { ConnectionRoom } from '../listeners/types.js'
import type { EventLog } from '../events/types.js'
import type { TimerService } from '../timers/types.js'
import type { Metrics } from '../metrics/types.js'

/** Exit codes of every binary. */
export const ExitCode = {
  Ok: 0,
  Failed: 1,
  /** Invalid command line. */
  Usage: 2,
  /** Invalid settings. */
  Settings: 3,
  /** Listening on an address failed. */
  Listen: 4
} as const

/** A running daemon, as returned by its start function. */
export interface RunningProcess<Settings = unknown> {
  /** host:port on which it listens, reported in the event `processStarted`. */
  readonly address: string
  /** Drains and stops the daemon; resolves when all work has ended. */
  readonly stop: () => Promise<void>
  /** Applies changed settings, as far as they can change at run time. */
  readonly reload?: (settings: Settings) => void
}

/** Arguments of a daemon's start function. */
export interface ProcessContext<Settings> {
  readonly settings: Settings
  readonly events: EventLog
  readonly timers: TimerService
  readonly metrics: Metrics
  /** The room for connections of all listeners. */
  readonly connections: ConnectionRoom
  /** Aborted when a stop is asked for, also during the start. */
  readonly stopSignal?: AbortSignal
}
