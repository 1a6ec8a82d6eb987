import type { IncomingMessage, ServerResponse } from 'node:http'

/** Executes one command of the control API; the return value is sent back as JSON. */
export type RunCommand = (command: unknown) => unknown

/** The control API of one stand-in: state and commands under `/control` on its own port. */
export interface ControlApi {
  readonly dump: () => unknown
  readonly run: RunCommand
}

/** Handles HTTP requests that are not RPCs; returns false if the request is for another handler. */
export type HandlePlain = (request: IncomingMessage, response: ServerResponse) => boolean

/** A started stand-in. */
export interface StartedStandin {
  readonly address: string
  readonly stop: () => Promise<void>
}
