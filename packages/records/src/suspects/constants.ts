/** A suspect is convicted by two engine deaths within this time if it was the only running request at the last. */
export const CONVICTION_WINDOW_MS = 600_000

/**
 * How long a death counts against a suspect. Callers may resend for hours a request that crashes engines; if
 * its deaths expired within that time, it would crash one more engine after each expiry.
 */
export const DEATH_RETENTION_MS = 86_400_000

/** Maximum number of suspects; beyond it the one whose last death is oldest is deleted. */
export const MAX_SUSPECTS = 1000

/** Maximum number of deaths stored per suspect; the latest are kept. */
export const MAX_DEATHS_PER_SUSPECT = 4
