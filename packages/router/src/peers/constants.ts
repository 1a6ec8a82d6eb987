/**
 * Number of other routers that each router dials: its successor on the ring, so that no group of
 * routers is disconnected from the others, and random ones, so that a message reaches 350 routers in
 * four or five hops. Each costs one heartbeat per second.
 */
export const NEIGHBOUR_COUNT = 3

/**
 * Time to wait for the log after a peer has reported a higher offset, before its records are requested
 * from the peer. While the log is up, both receive a record within a few ms of each other.
 */
export const RECORDS_REQUEST_DELAY_MS = 200

/** Maximum number of records in one message; a few hundred KB at most. */
export const RECORDS_PER_MESSAGE = 500

/** Delay before a router is redialled. */
export const REDIAL_MS = 1_000

/** Changes of the own offset within this time are announced together. */
export const ANNOUNCE_DELAY_MS = 20
