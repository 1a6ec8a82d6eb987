/** A process that lacks the newest configuration, which a peer has. */
export interface FetchView {
  /** Time since a peer first offered a newer configuration. */
  readonly behindMs: number
  /** The process reads the store itself, so the configuration may come from there. */
  readonly readsStore: boolean
  /** Time since the latest part of the answer to its own read; Infinity while no answer arrives. */
  readonly readQuietMs: number
  /** The process may begin its own read again, as that may wait on a dead connection; false once it has. */
  readonly mayReadAgain: boolean
  /** Time since the open fetch began or got its latest piece; undefined without one. */
  readonly fetchQuietMs: number | undefined
}

/** Time for which a process that reads the store waits for its own read, or for the next part of it. */
const READ_QUIET_MS = 150

/** Time after which a piece counts as lost. A piece takes a fiftieth of a second on a narrow link that is free. */
const PIECE_TIMEOUT_MS = 400

/** What a process does that lacks the newest configuration. */
export type FetchPlan = 'fetch' | 'readAgain' | 'wait'

/**
 * Whether to fetch the configuration from a peer now, or from another one if a fetch is open, or to begin the own read of the store again.
 *
 * Load pattern: a large configuration takes longer to arrive than a process waits for it. Asked for once more, it arrives later still, as
 * the copies share one link, and the process asks again: a collapse that outlasts its cause. So nothing is asked for twice while
 * bytes of it arrive.
 */
export const planFetch = ({ behindMs, readsStore, readQuietMs, mayReadAgain, fetchQuietMs }: FetchView): FetchPlan => {
  if (fetchQuietMs !== undefined) return fetchQuietMs >= PIECE_TIMEOUT_MS ? 'fetch' : 'wait'
  if (!readsStore) return 'fetch'
  if (Math.min(behindMs, readQuietMs) < READ_QUIET_MS) return 'wait'
  return mayReadAgain ? 'readAgain' : 'fetch'
}
