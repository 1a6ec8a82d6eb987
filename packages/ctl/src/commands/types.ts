import type { EitherAsync } from 'purify-ts'
import type { Fault, TimerService } from '@figmount/base'
import type { OperatorClient } from '../operatorClient/createOperatorClient.js'

/** Dependencies and output of every command. */
export interface CommandContext {
  readonly client: OperatorClient
  readonly timers: TimerService
  /** Prints JSON instead of tables. */
  readonly json: boolean
  readonly print: (text: string) => void
  /** Asks for confirmation at the terminal; without a terminal it exits with a usage error. */
  readonly confirm: (question: string) => Promise<boolean>
}

/** Result of a command: true if everything requested was done. */
export type CommandResult = EitherAsync<Fault, boolean>
