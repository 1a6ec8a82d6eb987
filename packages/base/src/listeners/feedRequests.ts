import { LINE_BYTES, PIECE_BYTES, REQUEST_BYTES, UNPARSED_BYTES } from './constants.js'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { TimerService } from '../timers/types.js'
import type { ConnectionPlace, ConnectionStage, RequestHandler } from './types.js'

/** Bytes that were read and not parsed yet. */
interface UnparsedBytes {
  readonly bytes: Buffer
  readonly arrivedMs: number
}

/** A request without an answer. */
interface OpenRequest {
  readonly message: IncomingMessage
  readonly response: ServerResponse
  readonly arrivedMs: number
  readonly handle: RequestHandler
  heldBytes: number
  /** The part of it that is an answer which waits for the peer. */
  unsentBytes: number
  isHandled: boolean
}

interface Options {
  readonly socket: Socket
  readonly timers: Pick<TimerService, 'nowMs'>
  /** Requests that are parsed ahead of their answers. */
  readonly requestCount: number
  /** Requests that are handled at once; the others wait for their turn. */
  readonly handledCount: number
  /** Bodies, and answers that are not sent yet, count as held, as no handler bounds them. */
  readonly countsContent: boolean
}

/** Gives the requests of one connection to their handler. */
export interface RequestFeed {
  readonly setPlace: (place: ConnectionPlace) => void
  readonly take: (message: IncomingMessage, response: ServerResponse, handle: RequestHandler) => void
  /** All answers are written, and wait for the peer to read. */
  readonly isUnread: () => boolean
  /** Leaves the connection to another protocol; false if bytes lie behind the request that asked for it. */
  readonly handOver: () => boolean
}

type ParserListener = (bytes: Buffer) => void

const NEWLINE = 10

/** Memory that the parser takes for a piece of a head. */
const memoryOfLines = (piece: Buffer): number => {
  let lineCount = 0
  for (const byte of piece) {
    if (byte === NEWLINE) lineCount += 1
  }
  return piece.length + lineCount * LINE_BYTES
}

/**
 * Stands between a connection and Node's parser, and gives the parser small pieces.
 *
 * Guards against thousands of short requests in what is read at once: the parser makes objects of all of them, and Node stops reading for
 * unsent answers only, which a request that waits does not have. Bytes that are not parsed yet are kept as they came, and beyond a bound
 * the connection is not read: its peer has to wait.
 */
export const feedRequests = ({ socket, timers, requestCount, handledCount, countsContent }: Options): RequestFeed => {
  const requests: OpenRequest[] = []
  const unparsed: UnparsedBytes[] = []
  let place: ConnectionPlace | undefined
  let parse: ParserListener = () => {}
  let unparsedBytes = 0
  /** Memory for what has come of a head that has not ended yet. */
  let headBytes = 0
  let newestMessage: IncomingMessage | undefined
  let takenCount = 0
  /** At least so much is still to come of a body whose length is known: it is parsed in one piece. */
  let bodyLeftBytes = 0
  let arrivedMs = timers.nowMs()
  let isParsing = false
  let isParsingSoon = false
  let isOver = false
  /** The connection is not read, as too much of it is not parsed. */
  let isHeldBack = false

  const hold = (changeBytes: number, changeAheadBytes = 0): void => {
    if (!isOver) place?.hold(changeBytes, changeAheadBytes)
  }

  const stage = (): ConnectionStage => {
    const [first, second] = requests
    if (!first) return headBytes + unparsedBytes > 0 ? 'receiving' : 'idle'
    return !second && !first.message.complete ? 'uploading' : 'serving'
  }

  const handleNext = (): void => {
    for (const request of requests.slice(0, handledCount)) {
      if (request.isHandled) continue
      request.isHandled = true
      request.handle(request.message, request.response, request.arrivedMs)
      countUnsent(request)
    }
  }

  const holdMore = (request: OpenRequest, bytes: number): void => {
    request.heldBytes += bytes
    hold(bytes, request === requests[0] ? 0 : bytes)
  }

  /** What the handler has written waits for the peer to read. */
  const countUnsent = (request: OpenRequest): void => {
    const { writableLength } = request.response
    holdMore(request, writableLength - request.unsentBytes)
    request.unsentBytes = writableLength
  }

  const finish = (request: OpenRequest): void => {
    const index = requests.indexOf(request)
    if (isOver || index < 0) return
    requests.splice(index, 1)
    const next = requests[0]
    // The request that is first now is no longer ahead.
    hold(-request.heldBytes, index === 0 ? -(next?.heldBytes ?? 0) : -request.heldBytes)
    handleNext()
    place?.move(stage())
    parseSoon()
  }

  const nextPiece = (): Buffer | undefined => {
    const [first] = unparsed
    if (!first) return undefined
    const piece = first.bytes.subarray(0, Math.max(PIECE_BYTES, bodyLeftBytes))
    arrivedMs = first.arrivedMs
    if (piece.length === first.bytes.length) unparsed.shift()
    else unparsed[0] = { ...first, bytes: first.bytes.subarray(piece.length) }
    unparsedBytes -= piece.length
    hold(-piece.length, -piece.length)
    return piece
  }

  const mayParse = (): boolean =>
    !isOver && !socket.destroyed && !socket.writableNeedDrain && requests.length < requestCount && place?.isFull() === false

  const isInBody = (): boolean => newestMessage?.complete === false

  const parsePiece = (piece: Buffer): void => {
    const wasInBody = isInBody()
    const takenBefore = takenCount
    parse(piece)
    bodyLeftBytes = isInBody() ? Math.max(0, bodyLeftBytes - piece.length) : 0
    if (isInBody()) {
      const newest = requests.at(-1)
      // A request that is answered before its body has come holds nothing any more.
      if (countsContent && newest && newest.message === newestMessage) holdMore(newest, piece.length)
      return
    }
    // A request has ended in this piece: what it may hold of the next head is short.
    if (wasInBody || takenCount > takenBefore) return
    const heldBytes = memoryOfLines(piece)
    headBytes += heldBytes
    hold(heldBytes)
  }

  /** Node resumes a connection whenever a request has come whole, and pauses it for a body that its handler does not read. */
  const keepReading = (): void => {
    if (unparsedBytes > UNPARSED_BYTES) {
      isHeldBack = true
      socket.pause()
    } else if (isHeldBack) {
      isHeldBack = false
      socket.resume()
    }
  }

  const parseWhileAllowed = (): void => {
    isParsing = true
    try {
      while (mayParse()) {
        const piece = nextPiece()
        if (!piece) return
        parsePiece(piece)
      }
    } finally {
      isParsing = false
    }
  }

  const parseOn = (): void => {
    if (isParsing || isOver) return
    parseWhileAllowed()
    if (isOver || socket.destroyed) return
    keepReading()
    if (unparsedBytes > 0 && place?.isFull()) place.onceRoom(parseOn)
  }

  /** Once a turn, however many requests are answered in it: each turn answers many more. */
  const parseSoon = (): void => {
    if (isParsingSoon || unparsedBytes === 0) return
    isParsingSoon = true
    setImmediate(() => {
      isParsingSoon = false
      parseOn()
    })
  }

  const takeBytes = (bytes: Buffer): void => {
    unparsed.push({ bytes, arrivedMs: timers.nowMs() })
    unparsedBytes += bytes.length
    hold(bytes.length, bytes.length)
    parseOn()
    if (!isOver) place?.move(stage())
  }

  const end = (): void => {
    isOver = true
    unparsed.length = 0
    requests.length = 0
  }

  return {
    setPlace: given => {
      place = given
      const [listener, ...others] = socket.listeners('data') as ParserListener[]
      if (!listener || others.length > 0) throw new Error('the connection has no parser, or others beside it')
      parse = listener
      // Node reads past the listeners of a connection until there is another one.
      socket.on('data', takeBytes)
      socket.off('data', listener)
      socket.on('drain', parseOn)
      socket.once('close', end)
    },
    take: (message, response, handle) => {
      const request: OpenRequest = { message, response, arrivedMs, handle, heldBytes: REQUEST_BYTES + headBytes, unsentBytes: 0, isHandled: false }
      requests.push(request)
      newestMessage = message
      takenCount += 1
      bodyLeftBytes = Number(message.headers['content-length'] ?? 0)
      hold(REQUEST_BYTES, requests.length === 1 ? 0 : request.heldBytes)
      headBytes = 0
      response.once('close', () => { finish(request) })
      if (countsContent) response.once('prefinish', () => { countUnsent(request) })
      handleNext()
    },
    isUnread: () => requests.every(({ response }) => response.writableEnded),
    handOver: () => {
      socket.off('data', takeBytes)
      socket.off('drain', parseOn)
      hold(-headBytes - unparsedBytes, -unparsedBytes)
      place?.move('linked')
      const isClean = unparsedBytes === 0
      isOver = true
      return isClean
    }
  }
}
