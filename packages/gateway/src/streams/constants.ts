/** Largest event of a stream; a run that sends a larger one counts as broken. */
export const MAX_EVENT_BYTES = 1024 * 1024

/** Memory for unfinished events of all streams of a process; beyond it a stream whose event is not short counts as broken as it grows. */
export const MAX_UNFINISHED_BYTES = 32 * 1024 * 1024

/** An unfinished event up to this length is not ended for the sake of others: the number of connections bounds how many there are. */
export const SHORT_EVENT_BYTES = 16 * 1024

/** Most chunks in which an event may come, as each costs time of its own, however short it is. */
export const MAX_EVENT_CHUNKS = 16_384

/** Most bytes, and most events, between two pieces that are none: comments and the like. Over it the run counts as broken. */
export const MAX_ASIDE_BYTES = 1024 * 1024
export const MAX_ASIDE_COUNT = 16_384
