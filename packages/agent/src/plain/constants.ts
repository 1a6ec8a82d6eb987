/**
 * Idle connections to a plain service are dropped after this. Grounds: a device between the ends that forgets a
 * connection takes minutes to do so; a fresh one is safe, and dialling costs one round trip.
 */
export const IDLE_SOCKET_MS = 2_000

/** Time for a connection to a plain service to open. */
export const DIAL_TIMEOUT_MS = 1_500

/** Largest answer of a plain service that is passed on. */
export const MAX_ANSWER_BYTES = 3 * 1024 * 1024

/** Time without a byte after which a repeatable call on a pooled connection is sent again over a new one. */
export const POOLED_SILENCE_MS = 2_000

/** Headers that belong to one connection and are not passed on. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'host', 'content-length'
])
