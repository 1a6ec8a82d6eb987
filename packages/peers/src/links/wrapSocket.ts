import { BaseEvent } from '@figmount/base'

import { HEARTBEAT_MS, MAX_BUFFERED_BYTES, MAX_PROCESS_BUFFERED_BYTES, SILENCE_TIMEOUT_MS, SMALL_BUFFERED_BYTES } from './constants.js'
import { createMessageCodec } from './createMessageCodec.js'
import { createMessageQueue } from './createMessageQueue.js'
import { PeerEvent } from './events.js'

import type { RawData, WebSocket } from 'ws'
import type { LogOffset } from '@figmount/base'
import type { Envelope } from '../messages/types.js'
import type { MessageCodec } from './createMessageCodec.js'
import type { Link, LinkContext, PackedMessage } from './types.js'

/** Codec of links whose context has none. */
const defaultCodec = createMessageCodec([])

const decode = <Body>(codec: MessageCodec, data: RawData): Envelope<Body> | undefined => {
  try {
    const value = codec.unpack(data as Buffer) as Partial<Envelope<Body>> | null
    if (typeof value !== 'object' || value === null) return undefined
    if (typeof value.offset !== 'number' || typeof value.clock !== 'number') return undefined
    if (typeof (value.body as { type?: unknown } | undefined)?.type !== 'string') return undefined
    return value as Envelope<Body>
  } catch {
    return undefined
  }
}

/** The field that every message has. */
interface TypedMessage {
  readonly type: string
}

/** The part of a link context that `packMessage` uses. */
type PackContext = Pick<LinkContext, 'offset' | 'events' | 'codec'>

/** Encodes a message once, for sending it on many links. */
export const packMessage = <Body>({ offset, events, codec = defaultCodec }: PackContext, body: Body): PackedMessage<Body> => {
  const envelope: Envelope<Body> = { offset: offset(), clock: events.tick(), body }
  return { bytes: codec.pack(envelope), body }
}

/** Sockets of all open links of the process. */
const openSockets = new Set<WebSocket>()

const processBufferedBytes = (): number => {
  let sum = 0
  for (const { bufferedAmount } of openSockets) sum += bufferedAmount
  return sum
}

/** True if the socket's peer has stopped reading, or reads too slowly for what all links of the process may keep. */
const isOverfull = ({ bufferedAmount }: WebSocket): boolean => {
  if (bufferedAmount > MAX_BUFFERED_BYTES) return true
  return bufferedAmount > SMALL_BUFFERED_BYTES && processBufferedBytes() > MAX_PROCESS_BUFFERED_BYTES
}

/** Creates a link on an open socket and closes it when the peer goes silent. */
export const wrapSocket = <Send, Receive>(socket: WebSocket, peer: string, context: LinkContext): Link<Send, Receive> => {
  const inbox = createMessageQueue<Receive>()
  const codec = context.codec ?? defaultCodec
  let isOpen = true
  openSockets.add(socket)
  let lastHeardMs = context.timers.nowMs()

  const finish = (reason: string): void => {
    if (!isOpen) return
    isOpen = false
    openSockets.delete(socket)
    stopWatching()
    context.events.emit(PeerEvent.linkClosed, { peer, reason })
    inbox.end()
    // `terminate` instead of `close`: an unreachable peer never answers a closing handshake.
    socket.terminate()
  }

  // Guards against a connection that an intermediary has dropped without notice: writes succeed locally and no data ever
  // arrives. Both ends send at least every HEARTBEAT_MS, so a connection without a message for SILENCE_TIMEOUT_MS is dead,
  // even if a new connection to the same peer works.
  const stopWatching = context.timers.every(HEARTBEAT_MS / 2, () => {
    if (context.timers.nowMs() - lastHeardMs > SILENCE_TIMEOUT_MS) finish('silent')
  })

  socket.on('message', data => {
    lastHeardMs = context.timers.nowMs()
    const envelope = decode<Receive>(codec, data)
    if (!envelope) {
      context.events.emit(BaseEvent.badInput, { peer, step: 'links.decode', reason: 'malformed message' })
      return finish('malformed message')
    }
    context.events.witness(envelope.clock)
    context.onPeerOffset(peer, envelope.offset)
    inbox.push(envelope.body)
  })
  socket.on('close', () => finish('closed by peer'))
  socket.on('error', error => finish(error.message))

  const sendPacked = ({ bytes, body }: PackedMessage<Send>): void => {
    if (!isOpen) return
    context.noteSent?.((body as TypedMessage).type, bytes.length)
    socket.send(bytes)
    // Guards against a peer that stops reading: without a bound, the unsent messages would exhaust the router's memory.
    if (isOverfull(socket)) finish('peer does not read')
  }

  return {
    peer,
    send: body => { if (isOpen) sendPacked(packMessage(context, body)) },
    sendPacked,
    received: inbox.values,
    close: finish,
    isOpen: () => isOpen,
    bufferedBytes: () => socket.bufferedAmount,
    lastReceivedMs: () => lastHeardMs
  }
}

/** Offset of a process that has not read any record. */
export const NO_OFFSET = 0 as LogOffset
