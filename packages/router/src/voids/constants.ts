/** Interval between checks of engines whose instances are no longer listed by the platform. */
export const CHECK_PERIOD_MS = 2_000

/** Timeout of one call to such an engine. */
export const CALL_TIMEOUT_MS = 2_000

/**
 * Time off the list after which an instance with an unknown address counts as unreachable. This is
 * four times the time that a void requires, so that a router that has the address acts first.
 */
export const UNKNOWN_ADDRESS_MS = 120_000
