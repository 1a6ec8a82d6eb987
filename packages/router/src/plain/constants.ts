/** Path prefix of plain services: `/plain/<service>/...`. */
export const PLAIN_PREFIX = '/plain/'

/** Deadline of a call without a deadline header. */
export const DEFAULT_DEADLINE_MS = 30_000

/** Headers that correspond to the fields of an InferRequest. */
export const PlainHeader = {
  requestKey: 'figmount-request-key',
  issuedAtMs: 'figmount-issued-at-ms',
  deadlineMs: 'figmount-deadline-ms',
  repeatable: 'figmount-repeatable',
  resendCount: 'figmount-resend-count'
} as const

/** Headers that apply to a single connection or to figmount itself and are not forwarded. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'host', 'content-length', 'authorization', 'expect'
])
