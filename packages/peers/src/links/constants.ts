/** A heartbeat is sent when no other message was sent for this long. */
export const HEARTBEAT_MS = 1_000

/** A link without a received message for this long is closed and opened again: two heartbeats may be late before a third is missed. */
export const SILENCE_TIMEOUT_MS = 3_000

/** Timeout of a handshake, after which the peer counts as unreachable. */
export const CONNECT_TIMEOUT_MS = 1_500

/** Largest message between processes: room for a prompt of 1 MB and its envelope. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024

/** A link with more unsent bytes than this is closed: its peer has stopped reading. */
export const MAX_BUFFERED_BYTES = 16 * 1024 * 1024

/** All links of a process together; beyond it a link that sends is closed unless it has few unsent bytes. */
export const MAX_PROCESS_BUFFERED_BYTES = 32 * 1024 * 1024

/** A link with fewer unsent bytes than this is not closed for the sake of others. */
export const SMALL_BUFFERED_BYTES = 1024 * 1024

/** Header with the proof that the sender has the shared key, and header with the sender's instance name. */
export const PROOF_HEADER = 'figmount-proof'
export const INSTANCE_HEADER = 'figmount-instance'
