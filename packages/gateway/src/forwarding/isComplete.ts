import type { IncomingMessage } from 'node:http'

/** The message is delimited by a length or by chunks; any other ends with its connection. */
export const hasFraming = (message: IncomingMessage): boolean =>
  message.headers['content-length'] !== undefined || message.headers['transfer-encoding'] !== undefined

/**
 * Whether a message that has ended is complete.
 *
 * Guards against passing on a truncated answer as a complete one: if a connection is reset during an answer without a length, Node ends
 * the answer as after an orderly close. Only an orderly end of the connection shows that nothing is missing.
 */
export const isComplete = (message: IncomingMessage): boolean =>
  message.complete && (hasFraming(message) || message.socket.readableEnded)
