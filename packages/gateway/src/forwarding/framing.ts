import { Framing } from '@figmount/base'

import type { OpenAnswer } from './types.js'

/** What the end of an answer's bytes shows. */
export const BytesEnd = {
  /** All bytes of its framing have arrived. */
  Marked: 'marked',
  /** The server's system has closed the connection in order, and nothing else marks the end. */
  Closed: 'closed',
  BrokenOff: 'broken_off'
} as const

export type BytesEnd = typeof BytesEnd[keyof typeof BytesEnd]

/**
 * What the end of an answer's bytes shows.
 *
 * Guards against an answer without framing whose connection was reset: Node ends it as after an orderly close.
 */
export const bytesEndOf = ({ message, framing, socket, wasReset }: OpenAnswer): BytesEnd => {
  if (!message.complete) return BytesEnd.BrokenOff
  if (framing !== Framing.Connection) return BytesEnd.Marked
  return socket.readableEnded && !wasReset() ? BytesEnd.Closed : BytesEnd.BrokenOff
}

/** What shows that an answer is complete. */
export const EndProof = {
  /** Its framing. */
  Framing: 'framing',
  /** After the close of its connection a server with the same id has answered a health check. */
  HealthCheck: 'health_check'
} as const

export type EndProof = typeof EndProof[keyof typeof EndProof]

/** How the end of a server's complete answer was marked and recognised. */
export interface AnswerEnd {
  readonly framing: Framing
  readonly proof: EndProof
}
