import type { IncomingMessage, ServerResponse } from 'node:http'

/** Carries out one command of the control surface; what it returns is the answer as JSON. */
export type RunCommand = (command: unknown) => unknown

/** The control surface of one stand-in, under `/control` of its own port. */
export interface ControlSurface {
  readonly dump: () => unknown
  readonly run: RunCommand
}

/** Takes what is no RPC; false leaves it to the caller. */
export type HandlePlain = (request: IncomingMessage, response: ServerResponse) => boolean

/** A started stand-in. */
export interface StartedStandin {
  readonly address: string
  readonly stop: () => Promise<void>
}
