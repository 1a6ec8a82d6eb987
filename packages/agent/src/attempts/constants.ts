/**
 * Tokens of one attempt that arrive within this time are sent in one frame. A fast engine's chunk of several tokens is
 * split over a few reads within a millisecond or two; 5 ms is under a tenth of the promised 66 ms between tokens.
 */
export const FRAME_GATHER_MS = 5

/** A frame that reaches this many tokens is sent at once. */
export const FRAME_TOKEN_COUNT = 64

/** A repeatable attempt without a subscribed router is cancelled after this time: the router is dead or runs it elsewhere. */
export const ORPHAN_MS = 10_000

/** Finished repeatable attempts are stored this long past their deadline, for a router that reconnects. */
export const FINISHED_KEEP_MS = 3_000

/** Approximate memory overhead of a frame beside its text, for the bound on stored answers. */
export const FRAME_OVERHEAD_BYTES = 64
