import { BaseEvent } from '@figmount/base'

import { HEARTBEAT_MS, MAX_BUFFERED_BYTES, SILENCE_MS } from './constants.js'
import { createMessageCodec } from './createMessageCodec.js'
import { createInbox } from './createInbox.js'
import { PeerEvent } from './events.js'

import type { RawData, WebSocket } from 'ws'
import type { LogOffset } from '@figmount/base'
import type { Envelope } from '../messages/types.js'
import type { MessageCodec } from './createMessageCodec.js'
import type { Link, LinkContext, PackedMessage } from './types.js'

/** For links whose context names no codec. */
const plainCodec = createMessageCodec([])

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

/** What all messages have. */
interface Message {
  readonly type: string
}

/** What packing a message needs of its links. */
type PackContext = Pick<LinkContext, 'offset' | 'events' | 'codec'>

/** Packs a message once for all links that it goes through. */
export const packMessage = <Body>({ offset, events, codec = plainCodec }: PackContext, body: Body): PackedMessage<Body> => {
  const envelope: Envelope<Body> = { offset: offset(), clock: events.tick(), body }
  return { bytes: codec.pack(envelope), body }
}

/** Makes a link of an open socket and watches it for silence. */
export const wrapSocket = <Send, Receive>(socket: WebSocket, peer: string, context: LinkContext): Link<Send, Receive> => {
  const inbox = createInbox<Receive>()
  const codec = context.codec ?? plainCodec
  let open = true
  let lastHeardMs = context.timers.nowMs()

  const finish = (reason: string): void => {
    if (!open) return
    open = false
    stopWatching()
    context.events.emit(PeerEvent.linkClosed, { peer, reason })
    inbox.end()
    // `terminate` and not `close`: a peer that is cut off never answers a closing handshake.
    socket.terminate()
  }

  // Guards against a connection that something between the two ends has forgotten: writes
  // succeed locally and nothing ever comes back. Both ends talk at least every HEARTBEAT_MS,
  // so silence for SILENCE_MS means that this connection is dead even if a new one works.
  const stopWatching = context.timers.every(HEARTBEAT_MS / 2, () => {
    if (context.timers.nowMs() - lastHeardMs > SILENCE_MS) finish('silent')
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
    if (!open) return
    context.noteSent?.((body as Message).type, bytes.length)
    socket.send(bytes)
    // Guards against a peer that stops reading: without a bound the router's memory grows until it dies.
    if (socket.bufferedAmount > MAX_BUFFERED_BYTES) finish('peer does not read')
  }

  return {
    peer,
    send: body => { if (open) sendPacked(packMessage(context, body)) },
    sendPacked,
    received: inbox.values,
    close: finish,
    isOpen: () => open,
    bufferedBytes: () => socket.bufferedAmount,
    lastHeardMs: () => lastHeardMs
  }
}

/** Offset of a process that has read nothing yet. */
export const NO_OFFSET = 0 as LogOffset
