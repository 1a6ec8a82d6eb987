import type { EventLog, Fault, InstanceName, LogOffset, TimerService } from '@figmount/base'
import type { MessageCodec } from './createMessageCodec.js'

/** A message as links carry it, for one that goes through many of them. */
export interface PackedMessage<Body> {
  readonly bytes: Uint8Array
  /** What it says; links of other messages do not take it. */
  readonly body: Body
}

/** An open connection to a peer. One task reads `received` and ends with it. */
export interface Link<Send, Receive> {
  /** The peer's instance name as proved in the handshake, or its address if we dialled. */
  readonly peer: string
  readonly send: (body: Send) => void
  readonly sendPacked: (message: PackedMessage<Send>) => void
  /** Messages in order; ends when the link is closed, silent or broken. */
  readonly received: AsyncIterable<Receive>
  readonly close: (reason: string) => void
  readonly isOpen: () => boolean
  /** Bytes accepted by `send` that the system has not taken yet. */
  readonly bufferedBytes: () => number
  /** Monotonic time of the last message from the peer. */
  readonly lastHeardMs: () => number
}

/** What links share within one process. */
export interface LinkContext {
  readonly instance: InstanceName
  readonly sharedKey: string
  readonly timers: TimerService
  readonly events: EventLog
  /** The own next log offset, for the envelope. */
  readonly offset: () => LogOffset
  /** Both ends must have one of the same structures. */
  readonly codec?: MessageCodec
  /** Called with the type and size of each message that is sent. */
  readonly noteSent?: (type: string, byteCount: number) => void
  /** Called with the offset in each envelope from a peer, to find out who is behind. */
  readonly onPeerOffset: (peer: string, offset: LogOffset) => void
}

/** Why a link could not be opened. */
export type LinkFault = Fault
