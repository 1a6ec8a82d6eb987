import type { TimerService } from '@figmount/base'

/** A process hears of a change from the store and from a peer at about the same time; only later it counts as behind. */
const BEHIND_MS = 150

/** Time between two questions: one that is lost is asked again at another peer within half of what a change may take. */
const ASK_PERIOD_MS = 400

interface Options {
  readonly timers: TimerService
  /** Offset of the newest configuration that the process knows. */
  readonly ownOffset: () => number
  /** Asks a peer for the newest configuration. */
  readonly ask: (peer: string) => void
}

/** Brings a process up to date that does not hear of a configuration from the store. */
export interface CatchUp {
  /** Takes in the offset of the newest configuration that a peer knows. */
  readonly note: (peer: string, offset: number) => void
}

/**
 * Guards against a router that is cut off from the store, or whose read is never answered: it would go on by an old
 * configuration for seconds. What other routers pass on goes through two agents and may be lost with them; here each agent
 * that is ahead is a way to learn of the change. Agents learn in the same way from routers and spare the store their reads.
 */
export const createCatchUp = ({ timers, ownOffset, ask }: Options): CatchUp => {
  let askedMs = -Infinity
  return {
    note: (peer, offset) => {
      if (offset <= ownOffset() || timers.nowMs() - askedMs < ASK_PERIOD_MS) return
      askedMs = timers.nowMs()
      timers.after(BEHIND_MS, () => { if (offset > ownOffset()) ask(peer) })
    }
  }
}
