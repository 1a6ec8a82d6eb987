import type { ServerResponse } from 'node:http'

/**
 * Breaks an answer off so that its caller sees that it is not complete.
 *
 * Guards against an answer without chunks that looks complete: it ends with its connection, and a connection that is closed in order halfway looks like
 * one that is closed after the end. A reset does not.
 */
export const breakOff = (response: ServerResponse): void => {
  if (response.headersSent && !response.chunkedEncoding) response.socket?.resetAndDestroy()
  response.destroy()
}
