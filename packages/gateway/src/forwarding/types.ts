import type { IncomingMessage } from 'node:http'
import type { Fault } from '@figmount/base'
import type { ServerAnswer, ServerStart } from '@figmount/fleet'

/** A request as it goes to a server. */
export interface OutboundRequest {
  readonly start: ServerStart
  /** host:port */
  readonly address: string
  readonly method: string
  readonly url: string
  /** Names and values, one after the other, with those of the message's framing. */
  readonly headers: readonly string[]
  readonly body: Buffer
  /** Gives up with a fault after this time without an answer's head. */
  readonly headTimeoutMs: number
  /** Nothing shows yet that the server's instance has got what was sent. */
  readonly mayBeInTransit: () => boolean
}

/** A server's answer whose body is still to be read. */
export interface OpenAnswer {
  readonly message: IncomingMessage
  readonly answer: ServerAnswer
  /** Ends the exchange and its connection; the server stops working on the request. */
  readonly abort: () => void
}

/** Why there is no answer. */
export interface SendFault {
  readonly fault: Fault
  /** False when the request cannot have reached the server. */
  readonly mayHaveRun: boolean
}
