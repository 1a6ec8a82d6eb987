import type { ConnectionRoom, EventLog, Metrics, TimerService } from '@figmount/base'

/** Address, settings and services that every stand-in is started with. */
export interface StandinContext<Settings> {
  readonly instance: string
  readonly host: string
  readonly port: number
  readonly settings: Settings
  readonly timers: TimerService
  readonly events: EventLog
  readonly metrics: Metrics
  readonly connections: ConnectionRoom
}
