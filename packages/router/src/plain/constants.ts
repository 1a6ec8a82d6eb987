/** Paths under which plain services are reached: `/plain/<service>/...`. */
export const PLAIN_PREFIX = '/plain/'

/** Deadline of a call that names none. */
export const DEFAULT_DEADLINE_MS = 30_000

/** Headers by which a caller says what it would say in an InferRequest. */
export const PlainHeader = {
  requestKey: 'figmount-request-key',
  issuedAtMs: 'figmount-issued-at-ms',
  deadlineMs: 'figmount-deadline-ms',
  repeatable: 'figmount-repeatable',
  resendCount: 'figmount-resend-count'
} as const

/** Headers that belong to one connection or to figmount and are not passed on. */
export const HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'host', 'content-length', 'authorization', 'expect'
])
