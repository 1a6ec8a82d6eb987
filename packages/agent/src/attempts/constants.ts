/**
 * Tokens of one attempt that arrive within this time travel in one frame. Grounds: a fast engine's chunk of
 * several tokens is split over a few reads that come within a millisecond or two; 5 ms is under a
 * tenth of the 66 ms between tokens that callers are promised.
 */
export const FRAME_GATHER_MS = 5

/** A frame goes out at once when it holds this many tokens. */
export const FRAME_TOKEN_COUNT = 64

/** A repeatable attempt that no router listens to is cancelled after this; its router is dead or has moved it. */
export const ORPHAN_MS = 10_000

/** Finished repeatable attempts are kept this long after their deadline, for a router that dials again. */
export const FINISHED_KEEP_MS = 3_000

/** Rough memory of a token or a frame beside its text, for the bound on kept answers. */
export const FRAME_OVERHEAD_BYTES = 64
