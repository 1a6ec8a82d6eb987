/**
 * Idle connections to a plain service are closed after this time. A device on the path takes minutes before it drops a
 * connection silently, so a recently used one is safe, and a new connection costs one round trip.
 */
export const IDLE_SOCKET_MS = 2_000

/** Connect timeout of a plain service. */
export const CONNECT_TIMEOUT_MS = 1_500

/** Largest answer of a plain service that is forwarded. */
export const MAX_ANSWER_BYTES = 3 * 1024 * 1024

/** Time without a byte after which a repeatable call on a pooled connection is sent again over a new one. */
export const POOLED_SILENCE_MS = 2_000

/** Hop-by-hop headers and headers that the HTTP library sets; they are not forwarded. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'host', 'content-length'
])
