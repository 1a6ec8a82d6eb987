import { maxHeaderSize } from 'node:http'

import type { ClientRequest, InformationEvent } from 'node:http'
import type { GuardListener } from './guardListener.js'

/** Bytes of an interim answer's first line less its words, and of the empty line at its end. */
const FRAME_BYTES = 'HTTP/1.1 100 \r\n\r\n'.length

/** Bytes around a header's name and its value. */
const HEADER_FRAME_BYTES = ': \r\n'.length / 2

const sizeOf = ({ statusMessage, rawHeaders }: InformationEvent): number =>
  rawHeaders.reduce((sum, text) => sum + text.length + HEADER_FRAME_BYTES, FRAME_BYTES + statusMessage.length)

/**
 * Calls `end` once if a server sends more interim answers (1xx) than an answer's head may be long. HTTP lets a server send any number of
 * them before its answer, asked for or not. The parser starts anew with each, so its own bound on a head never ends them, and it takes
 * all that a connection holds in one turn of the event loop, up to 2 MB: timers come late for all requests meanwhile.
 */
export const boundInterimAnswers = (request: ClientRequest, guard: GuardListener, end: () => void): void => {
  let byteCount = 0
  const take = guard((interim: InformationEvent): void => {
    byteCount += sizeOf(interim)
    if (byteCount <= maxHeaderSize) return
    request.off('information', take)
    end()
  })
  request.on('information', take)
}
