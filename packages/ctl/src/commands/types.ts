import type { EitherAsync } from 'purify-ts'
import type { Fault, TimerService } from '@figmount/base'
import type { OperatorClient } from '../operatorClient/createOperatorClient.js'

/** What every command works with. */
export interface CommandContext {
  readonly client: OperatorClient
  readonly timers: TimerService
  /** Programs get JSON, people get tables. */
  readonly json: boolean
  readonly print: (text: string) => void
  /** Asks the person at the terminal; false where there is none. */
  readonly confirm: (question: string) => Promise<boolean>
}

/** A command's end: true when all that was asked for was done. */
export type CommandResult = EitherAsync<Fault, boolean>
