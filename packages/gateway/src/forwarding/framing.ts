import type { IncomingMessage } from 'node:http'

/** How an answer's end is marked. */
export const Framing = {
  Length: 'length',
  Chunks: 'chunks',
  /** By the end of its connection. */
  Connection: 'connection'
} as const

export type Framing = typeof Framing[keyof typeof Framing]

/** How a server marks the end of its answer. */
export const framingOf = ({ headers }: IncomingMessage): Framing => {
  if (headers['transfer-encoding'] !== undefined) return Framing.Chunks
  return headers['content-length'] === undefined ? Framing.Connection : Framing.Length
}

/** What shows that an answer is complete. */
export const EndProof = {
  /** Its length or its last chunk. */
  Framing: 'framing',
  /** The server has closed its connection in order. */
  OrderlyClose: 'orderly_close'
} as const

export type EndProof = typeof EndProof[keyof typeof EndProof]

/** How the end of a server's complete answer was marked and recognised. */
export interface AnswerEnd {
  readonly framing: Framing
  readonly proof: EndProof
}

/** The end of a message that is complete. */
export const endOf = (message: IncomingMessage): AnswerEnd => {
  const framing = framingOf(message)
  return { framing, proof: framing === Framing.Connection ? EndProof.OrderlyClose : EndProof.Framing }
}
