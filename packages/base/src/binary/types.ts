import type { EventLog } from '../events/types.js'
import type { TimerService } from '../timers/types.js'
import type { Metrics } from '../metrics/types.js'

/** Exit codes of every binary. */
export const ExitCode = {
  Ok: 0,
  Failed: 1,
  /** Wrong command line. */
  Usage: 2,
  /** Wrong settings. */
  Settings: 3,
  /** An address could not be listened on. */
  Listen: 4
} as const

/** A started process. */
export interface RunningProcess<Settings = unknown> {
  /** host:port it listens on, printed with the event `processStarted`. */
  readonly address: string
  /** Drains and stops; resolves when nothing is left. */
  readonly stop: () => Promise<void>
  /** Takes over changed settings as far as that is possible while it runs. */
  readonly reload?: (settings: Settings) => void
}

/** What a binary's start function is given. */
export interface ProcessContext<Settings> {
  readonly settings: Settings
  readonly events: EventLog
  readonly timers: TimerService
  readonly metrics: Metrics
}
