import type { IncomingMessage } from 'node:http'

/** How the end of an HTTP answer is marked. */
export const Framing = {
  /** It has no body. */
  NoBody: 'noBody',
  Length: 'length',
  Chunks: 'chunks',
  /** By the end of its connection. */
  Connection: 'connection'
} as const

export type Framing = typeof Framing[keyof typeof Framing]

type AnswerHead = Pick<IncomingMessage, 'statusCode' | 'headers'>

const NO_BODY_STATUSES: ReadonlySet<number | undefined> = new Set([204, 304])

/** How the end of the answer to a request with this method is marked (RFC 9112, section 6.3). */
export const framingOf = ({ statusCode, headers }: AnswerHead, method: string): Framing => {
  if (method === 'HEAD' || NO_BODY_STATUSES.has(statusCode)) return Framing.NoBody
  const codings = headers['transfer-encoding']
  if (codings !== undefined) return codings.split(',').at(-1)?.trim().toLowerCase() === 'chunked' ? Framing.Chunks : Framing.Connection
  return headers['content-length'] === undefined ? Framing.Connection : Framing.Length
}
