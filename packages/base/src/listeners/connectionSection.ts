import * as z from 'zod'

import { DEFAULT_HELD_MB, DEFAULT_KEPT_FDS, DEFAULT_MAX_FDS, DEFAULT_REQUEST_COUNT } from './constants.js'

const MAX_COUNT = 1_000_000

const count = (fallback: number, min = 1) =>
  z.coerce.number('a whole number').int('a whole number').min(min, `at least ${min}`).max(MAX_COUNT).default(fallback)

/** The settings section `connections`: what connections from outside may take (docs/operate/connections.md). */
export const connectionSection = z.strictObject({
  max_fds: count(DEFAULT_MAX_FDS),
  kept_fds: count(DEFAULT_KEPT_FDS, 0),
  requests_ahead: count(DEFAULT_REQUEST_COUNT),
  held_mb: count(DEFAULT_HELD_MB)
}).prefault({})
