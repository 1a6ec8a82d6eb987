import { Framing } from '@figmount/base'

import { MAX_ANSWER_BYTES } from '../forwarding/constants.js'
import { FREE_BYTES } from '../memory/constants.js'
import { endAfterDrain, sendPieces } from './sendPieces.js'

import type { ServerResponse } from 'node:http'
import type { RawHeaders } from '@figmount/fleet'
import type { Hold } from '../memory/createHeldBytes.js'

/** Takes the events of one answer to a caller. */
export interface EventSink {
  readonly framing: Framing
  /** Sends the head, unless that is done. */
  readonly begin: (status: number, headers: RawHeaders) => void
  /** Returns false when the caller reads too slowly, or there is no room to hold more for it. */
  readonly write: (bytes: Buffer) => boolean
  /** Calls back once more can be taken. */
  readonly onceDrained: (resume: () => void) => void
  readonly end: () => void
  /** The answer cannot be sent: it is longer than what is held. */
  readonly isTooLong: () => boolean
}

const createChunkSink = (response: ServerResponse): EventSink => ({
  framing: Framing.Chunks,
  begin: (status, headers) => {
    if (response.headersSent) return
    response.writeHead(status, [...headers])
    response.flushHeaders()
  },
  write: bytes => response.write(bytes),
  onceDrained: resume => { response.once('drain', resume) },
  end: () => { endAfterDrain(response) },
  isTooLong: () => false
})

/** Small pieces are joined to blocks of this size, as each piece keeps the memory that it was read into. */
const BLOCK_BYTES = 64 * 1024

/** Reserves room for bytes that are held for a caller. */
export type ReserveRoom = (bytes: number, granted: () => void) => Hold

const createHeldSink = (response: ServerResponse, reserve: ReserveRoom): EventSink => {
  const blocks: Buffer[] = []
  let pieces: Buffer[] = []
  let pieceBytes = 0
  let byteCount = 0
  let hold: Hold | undefined
  let hasRoom = true
  let resumeReading = (): void => {}
  let head: { readonly status: number, readonly headers: RawHeaders } | undefined

  const joinPieces = (): void => {
    blocks.push(Buffer.concat(pieces))
    pieces = []
    pieceBytes = 0
  }

  const awaitRoom = (): void => {
    hasRoom = false
    hold = reserve(MAX_ANSWER_BYTES, () => {
      hasRoom = true
      resumeReading()
    })
    hold.onStalled(() => { response.destroy() })
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
      hold?.moved()
      if (!hold && byteCount > FREE_BYTES) awaitRoom()
      return hasRoom
    },
    onceDrained: resume => {
      if (hasRoom) resume()
      else resumeReading = resume
    },
    end: () => {
      if (!head) return
      response.writeHead(head.status, [...head.headers, 'content-length', String(byteCount)])
      joinPieces()
      hold?.shrink(byteCount)
      sendPieces(response, blocks, () => hold?.moved())
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
export const createEventSink = (response: ServerResponse, reserve: ReserveRoom): EventSink =>
  response.useChunkedEncodingByDefault ? createChunkSink(response) : createHeldSink(response, reserve)
