import type { ConnectionLimits } from './types.js'

const BYTES_PER_MB = 1024 * 1024

/** The settings of a process that bound its connections; each process has them in its section `connections`. */
export interface ConnectionSettings {
  /** Descriptors that the system allows the process. */
  readonly max_fds: number
  /** Those of them that connections from outside leave to files, the store, servers and links. */
  readonly kept_fds: number
  /** Requests of one connection that are read ahead of their answers. */
  readonly requests_ahead: number
  /** Memory for requests without an answer, what has come of others, and answers that are not sent yet. */
  readonly held_mb: number
}

/** Works out the limits of a process's connections. On a machine with few descriptors half of them are left. */
export const connectionLimitsOf = (settings: ConnectionSettings): ConnectionLimits => ({
  connectionCount: Math.max(1, Math.floor(Math.max(settings.max_fds - settings.kept_fds, settings.max_fds / 2))),
  requestCount: Math.max(1, Math.floor(settings.requests_ahead)),
  heldBytes: settings.held_mb * BYTES_PER_MB
})
