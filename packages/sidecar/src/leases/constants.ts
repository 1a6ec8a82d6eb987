/** Lifetime of a lease, as a multiple of the time that the load is expected to take. */
export const LIFETIME_RATIO = 1.05

/** Longest lifetime of a lease that is believed. */
export const MAX_LIFETIME_MS = 600_000

/** A lease is renewed while its load goes on when it has less than this left: more than clocks differ by, and time to repeat the call... */
export const RENEWAL_LEFT_MS = 2_500

/** ...or less than this share of the load's duration: the lease of a load that is lost stands for as long. */
export const RENEWAL_LEFT_SHARE = 0.2

/** Time by which a renewal extends a lease, as a share of the load's duration. */
export const RENEWAL_SHARE = 0.5

/** A lease whose load has not begun by then is released, unless room is being made. */
export const UNUSED_MS = 5_000

/** A lease whose model is not wanted any more for this long is released. A want that is about to be renewed is missing for a moment. */
export const UNWANTED_MS = 500

/** An expired lease is removed from the feed by whoever writes after this time; clocks differ by less. */
export const DEAD_LEASE_MS = 60_000

/** How long a read waits at the store for the leases to change. */
export const LEASE_POLL_MS = 2_000

/** Time after which a call to the store counts as lost, besides the time that it waits there. */
export const LEASE_CALL_TIMEOUT_MS = 1_500

/** Delay after the first failed call to the store; it doubles up to `MAX_LEASE_RETRY_MS`. */
export const LEASE_RETRY_MS = 50

/** Longest delay after a failed call to the store. */
export const MAX_LEASE_RETRY_MS = 2_000

/** Time without an answer of the store after which loads begin without a lease. */
export const FALLBACK_MS = 3_000

/** Time after a restart of the agent in which it takes no lease: agents that restart together all have their callers' wants by then. */
export const RESTART_SETTLE_MS = 500

/** The same after the store has come back from an older copy: all agents have seen it, and have written their leases again, by then. */
export const RESTORE_SETTLE_MS = 3_000
