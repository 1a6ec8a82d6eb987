/**
 * A generation stream without bytes for this long is resumed over a new connection: thirty missed tokens at the target
 * of 66 ms between tokens, and a resume costs one call.
 */
export const STREAM_IDLE_MS = 2_000

/** Pause before a broken stream is retried. */
export const STREAM_RETRY_MS = 200

/** A repeatable run whose engine is unreachable for this long is interrupted; longer than one idle time and one probe. */
export const MAX_UNREACHABLE_MS = 5_000

/** Timeout of an inventory request, which the engine answers from memory. */
export const INVENTORY_TIMEOUT_MS = 1_500

/** Timeout of a cancel request; no other work waits for it. */
export const CANCEL_TIMEOUT_MS = 2_000

/** Idle pooled connections are closed after this time, before a device on the path drops them silently. */
export const IDLE_CONNECTION_MS = 2_000

/** Period at which the engine's inventory is read. */
export const INVENTORY_MS = 2_000
