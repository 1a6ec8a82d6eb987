import { connectionLimitsOf } from './connectionLimitsOf.js'

import type { ConnectionLimits, ListenerTimes } from './types.js'

/** Descriptors of a process that names no limit, and those that connections leave to files, the store, servers and links. */
export const DEFAULT_MAX_FDS = 4_096
export const DEFAULT_KEPT_FDS = 1_200

export const DEFAULT_REQUEST_COUNT = 32
export const DEFAULT_HELD_MB = 64

/** Limits of a process whose settings name none. */
export const DEFAULT_LIMITS: ConnectionLimits = connectionLimitsOf({
  max_fds: DEFAULT_MAX_FDS, kept_fds: DEFAULT_KEPT_FDS, requests_ahead: DEFAULT_REQUEST_COUNT, held_mb: DEFAULT_HELD_MB
})

/** Times of a listener that has been told none. */
export const DEFAULT_TIMES: ListenerTimes = { headMs: 10_000, idleMs: 60_000 }

/** Connections that every listener may have, whatever the others have. */
export const LISTENER_SHARE = 32

/** Memory of a parsed request besides its bytes: its objects, listeners, timers and those of its answer. */
export const REQUEST_BYTES = 12 * 1024

/** Memory of a line of a head besides its bytes: two strings and their places, as read and by name. */
export const LINE_BYTES = 128

/** Bytes that are parsed at once: even the shortest heads in them are few requests. */
export const PIECE_BYTES = 512

/** Bytes of a connection that are read and not parsed; beyond it the connection is not read. */
export const UNPARSED_BYTES = 64 * 1024

/** Part of the memory that is left held when connections are closed for want of it. */
export const SHED_TO_SHARE = 7 / 8

/** Time without progress after which a connection whose answers all wait for its peer yields to a new one. */
export const UNREAD_MS = 2_000

/** Period at which times of connections are looked at, and lines on closed connections are logged. */
export const REVIEW_PERIOD_MS = 1_000
