/**
 * A generation stream without bytes for this long is resumed over a new connection. Grounds: the
 * target is 66 ms between tokens, so this is thirty missed tokens, and a resume costs one call.
 */
export const STREAM_IDLE_MS = 2_000

/** Pause before a broken stream is tried again. */
export const STREAM_RETRY_MS = 200

/** A repeatable run whose engine cannot be reached for this long is handed back. Grounds: above one silence and one probe. */
export const MAX_UNREACHABLE_MS = 5_000

/** Deadline of an inventory, which the engine answers from memory. */
export const INVENTORY_TIMEOUT_MS = 1_500

/** Deadline of a cancel, which nobody waits for. */
export const CANCEL_TIMEOUT_MS = 2_000

/** Idle pooled connections are dropped after this, before a device between the ends forgets them. */
export const IDLE_CONNECTION_MS = 2_000

/** Period at which the engine is asked what it holds. */
export const INVENTORY_MS = 2_000
