/** A heartbeat goes out when nothing else was sent for this long. */
export const HEARTBEAT_MS = 1_000

/**
 * A link on which nothing was heard for this long is given up and opened anew.
 * Grounds: two heartbeats may be late before a third is missed.
 */
export const SILENCE_MS = 3_000

/** Time for a handshake, after which the peer counts as unreachable. */
export const CONNECT_TIMEOUT_MS = 1_500

/** Largest message between processes: a prompt of 1 MB and its envelope. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024

/** Beyond this many unsent bytes a link's peer counts as stuck and the link is closed. */
export const MAX_BUFFERED_BYTES = 16 * 1024 * 1024

/** Header with the proof of the shared key, and the header with the instance that makes it. */
export const PROOF_HEADER = 'figmount-proof'
export const INSTANCE_HEADER = 'figmount-instance'
