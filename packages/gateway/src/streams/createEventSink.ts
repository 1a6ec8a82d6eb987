import { Framing } from '@figmount/base'

import { MAX_ANSWER_BYTES } from '../forwarding/constants.js'

import type { ServerResponse } from 'node:http'
import type { RawHeaders } from '@figmount/fleet'

/** Takes the events of one answer to a caller. */
export interface EventSink {
  readonly framing: Framing
  /** Sends the head, unless that is done. */
  readonly begin: (status: number, headers: RawHeaders) => void
  /** Returns false when the caller reads too slowly. */
  readonly write: (bytes: Buffer) => boolean
  readonly end: () => void
  /** The answer cannot be sent: it is longer than what is held. */
  readonly isTooLong: () => boolean
}

/**
 * Ends an answer once its bytes are handed to the operating system.
 *
 * Guards against truncated answers to callers that read slowly: Node considers a connection idle as soon as its answer is ended, so a
 * stopping router would close it with the rest unsent.
 */
export const endAfterDrain = (response: ServerResponse): void => {
  if (response.writableNeedDrain) response.once('drain', () => response.end())
  else response.end()
}

const createChunkSink = (response: ServerResponse): EventSink => ({
  framing: Framing.Chunks,
  begin: (status, headers) => {
    if (response.headersSent) return
    response.writeHead(status, [...headers])
    response.flushHeaders()
  },
  write: bytes => response.write(bytes),
  end: () => { endAfterDrain(response) },
  isTooLong: () => false
})

/** Small pieces are joined to blocks of this size, as each piece keeps the memory that it was read into. */
const BLOCK_BYTES = 64 * 1024

const createHeldSink = (response: ServerResponse): EventSink => {
  const blocks: Buffer[] = []
  let pieces: Buffer[] = []
  let pieceBytes = 0
  let byteCount = 0
  let head: { readonly status: number, readonly headers: RawHeaders } | undefined

  const joinPieces = (): void => {
    blocks.push(Buffer.concat(pieces))
    pieces = []
    pieceBytes = 0
  }

  return {
    framing: Framing.Length,
    begin: (status, headers) => { head ??= { status, headers } },
    write: bytes => {
      byteCount += bytes.length
      if (byteCount > MAX_ANSWER_BYTES) return true
      pieces.push(bytes)
      pieceBytes += bytes.length
      if (pieceBytes >= BLOCK_BYTES) joinPieces()
      return true
    },
    end: () => {
      if (!head) return
      response.writeHead(head.status, [...head.headers, 'content-length', String(byteCount)])
      joinPieces()
      for (const block of blocks) response.write(block)
      endAfterDrain(response)
    },
    isTooLong: () => byteCount > MAX_ANSWER_BYTES
  }
}

/**
 * Creates the sink for one answer: chunks as the events come or, for a caller of HTTP/1.0, a length once they all are there.
 *
 * Guards against an answer that ends with its connection: if the router's process ends, the system closes its connections in order, and a
 * part of the answer would look complete.
 */
export const createEventSink = (response: ServerResponse): EventSink =>
  response.useChunkedEncodingByDefault ? createChunkSink(response) : createHeldSink(response)
