/**
 * Other routers that each router dials: its successor on the ring, so that no group is ever
 * left alone, and the rest spread at random, so that news crosses 350 routers in four or five
 * steps. Each costs a heartbeat a second.
 */
export const NEIGHBOUR_COUNT = 3

/**
 * A process that hears of a higher offset waits this long for the log before it asks the peer.
 * Grounds: with the log up both learn of a record within a few ms of each other.
 */
export const ASK_GRACE_MS = 200

/** Records in one message; a few hundred KB at most. */
export const RECORDS_PER_MESSAGE = 500

/** Pause before a router that could not be dialled is dialled again. */
export const REDIAL_MS = 1_000

/** Changes of the own offset that come within this time are announced together. */
export const ANNOUNCE_GATHER_MS = 20
