import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Fault, Framing } from '@figmount/base'
import type { ServerAnswer, ServerStart } from '@figmount/fleet'
import type { GuardListener } from './guardListener.js'

/** A request as it is sent to a server. */
export interface OutboundRequest {
  /** As its caller has named it; empty if it has not. */
  readonly requestId: string
  readonly start: ServerStart
  /** host:port */
  readonly address: string
  readonly method: string
  readonly url: string
  /** Names and values alternately, including those of the message's framing. */
  readonly headers: readonly string[]
  readonly body: Buffer
  /** Time limit for the head of the answer, after which the request fails. */
  readonly headTimeoutMs: number
  /** Nothing shows yet that the server's instance has received the request. */
  readonly mayBeInTransit: () => boolean
}

/** A server's answer whose body was not read yet. */
export interface OpenAnswer {
  readonly message: IncomingMessage
  readonly answer: ServerAnswer
  readonly framing: Framing
  /** The connection that brings the answer; Node takes it from the message when that is complete. */
  readonly socket: Socket
  /** Wraps each listener on the answer: what it throws ends the exchange. */
  readonly guard: GuardListener
  /** The server has reset the connection of an answer that ends with it. */
  readonly wasReset: () => boolean
  /** Ends the exchange and its connection; the server stops working on the request. */
  readonly abort: () => void
}

/** Why a request got no answer. */
export interface SendFault {
  readonly fault: Fault
  /** False when the request cannot have reached the server. */
  readonly mayHaveRun: boolean
  /** Something else than the answer came in its place. */
  readonly isMismatched: boolean
}
