import type { EventLog, Fault, InstanceName, LogOffset, TimerService } from '@figmount/base'
import type { MessageCodec } from './createMessageCodec.js'

/** An encoded message, for sending it on many links. */
export interface PackedMessage<Body> {
  readonly bytes: Uint8Array
  /** The message itself; its type prevents sending it on links that carry other messages. */
  readonly body: Body
}

/** An open connection to a peer. One reader consumes `received` until the link ends. */
export interface Link<Send, Receive> {
  /** Instance name proved by the peer in the handshake, or the peer's address if this process opened the link. */
  readonly peer: string
  readonly send: (body: Send) => void
  readonly sendPacked: (message: PackedMessage<Send>) => void
  /** Messages in order; ends when the link is closed, fails or is silent for too long. */
  readonly received: AsyncIterable<Receive>
  readonly close: (reason: string) => void
  readonly isOpen: () => boolean
  /** Bytes accepted by `send` that the operating system has not taken yet. */
  readonly bufferedBytes: () => number
  /** Monotonic time of the last message from the peer. */
  readonly lastReceivedMs: () => number
}

/** Settings shared by the links of one process. */
export interface LinkContext {
  readonly instance: InstanceName
  readonly sharedKey: string
  readonly timers: TimerService
  readonly events: EventLog
  /** This process's next log offset, sent in each envelope. */
  readonly offset: () => LogOffset
  /** Both ends of a link must use codecs with the same structures. */
  readonly codec?: MessageCodec
  /** Called with the type and size of each message that is sent. */
  readonly noteSent?: (type: string, byteCount: number) => void
  /** Called with the log offset in each received envelope, to find out which end lacks records. */
  readonly onPeerOffset: (peer: string, offset: LogOffset) => void
}

/** Why a link could not be opened. */
export type LinkFault = Fault
