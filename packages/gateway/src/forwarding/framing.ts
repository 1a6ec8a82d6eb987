import type { IncomingMessage } from 'node:http'
import type { OpenAnswer } from './types.js'

/** How the end of an answer is marked. */
export const Framing = {
  /** The status, or the request's method, allows no body. */
  NoBody: 'no_body',
  Length: 'length',
  Chunks: 'chunks',
  /** By the end of its connection. */
  Connection: 'connection'
} as const

export type Framing = typeof Framing[keyof typeof Framing]

const NO_CONTENT = 204
const NOT_MODIFIED = 304
const LAST_CODING_CHUNKED = /(?:^|,)\s*chunked\s*$/i

/** How a server marks the end of its answer to a request with this method. */
export const framingOf = ({ headers, statusCode }: Pick<IncomingMessage, 'headers' | 'statusCode'>, method: string): Framing => {
  if (method === 'HEAD' || statusCode === NO_CONTENT || statusCode === NOT_MODIFIED) return Framing.NoBody
  const codings = headers['transfer-encoding']
  if (codings !== undefined) return LAST_CODING_CHUNKED.test(codings) ? Framing.Chunks : Framing.Connection
  return headers['content-length'] === undefined ? Framing.Connection : Framing.Length
}

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
export const bytesEndOf = ({ message, framing, wasReset }: OpenAnswer): BytesEnd => {
  if (!message.complete) return BytesEnd.BrokenOff
  if (framing !== Framing.Connection) return BytesEnd.Marked
  return message.socket.readableEnded && !wasReset() ? BytesEnd.Closed : BytesEnd.BrokenOff
}

/** What shows that an answer is complete. */
export const EndProof = {
  /** Its framing. */
  Framing: 'framing',
  /** After the close of its connection the same start of its server has answered a health check. */
  HealthCheck: 'health_check'
} as const

export type EndProof = typeof EndProof[keyof typeof EndProof]

/** How the end of a server's complete answer was marked and recognised. */
export interface AnswerEnd {
  readonly framing: Framing
  readonly proof: EndProof
}
