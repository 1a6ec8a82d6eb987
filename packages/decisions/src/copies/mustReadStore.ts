/** A router and those from which it may get the configuration. */
export interface ReaderView {
  readonly hasConfiguration: boolean
  /** Bandwidth of the router's own link. */
  readonly linkMbps: number
  /** Linked agents whose reads of the configuration succeed. */
  readonly followingCount: number
  /** Time since the store was last known to be out of reach; Infinity if it never was. */
  readonly sinceOutageMs: number
  /** Fetches that failed since the router was last up to date. */
  readonly failedFetchCount: number
  /** Time since the store was seen to have a newer configuration; 0 if it has none. */
  readonly behindMs: number
  /** A peer offers a newer configuration. */
  readonly isOffered: boolean
}

/** On a link of this bandwidth a configuration of 1 MB takes less than a tenth of a second. */
const WIDE_LINK_MBPS = 100

/** One agent may read on a connection that is dead, or be cut off. Where all of them are, `behindMs` shows it. */
const MIN_FOLLOWING = 3

/** Time in which a peer offers a newer configuration, once the store is known to have it. */
const PEER_GRACE_MS = 150

/** Time after an outage in which reads that agents began before it may still wait on dead connections: their longest wait, and some. */
const AFTER_OUTAGE_MS = 28_000

/** After so many fetches have failed, the router reads the store itself. */
const MAX_FAILED_FETCHES = 2

/**
 * Whether a router reads the configuration from the store itself, uncompressed, or relies on the agents, which send it compressed.
 *
 * Load pattern: every router reads a large configuration in the same moment as the callers' requests go on. A narrow link is then busy
 * for a quarter of a second or more, and heartbeats, answers and questions to limiters wait behind it.
 */
export const mustReadStore = ({ hasConfiguration, linkMbps, followingCount, sinceOutageMs, failedFetchCount, behindMs, isOffered }: ReaderView): boolean => {
  if (!hasConfiguration || linkMbps >= WIDE_LINK_MBPS) return true
  if (followingCount < MIN_FOLLOWING || failedFetchCount >= MAX_FAILED_FETCHES) return true
  if (behindMs >= PEER_GRACE_MS && !isOffered) return true
  return sinceOutageMs < AFTER_OUTAGE_MS
}
