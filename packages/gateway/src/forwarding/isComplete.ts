import type { IncomingMessage } from 'node:http'

/** The message tells its own end, by a length or in chunks; any other ends with its connection. */
export const hasFraming = (message: IncomingMessage): boolean =>
  message.headers['content-length'] !== undefined || message.headers['transfer-encoding'] !== undefined

/**
 * Whether a message that has ended is whole.
 *
 * Guards against an answer without a length whose connection is reset: Node ends it like one that was closed in order,
 * and the caller would get a part of it as the whole. Only an orderly end of the connection shows that nothing is missing.
 */
export const isComplete = (message: IncomingMessage): boolean =>
  message.complete && (hasFraming(message) || message.socket.readableEnded)
