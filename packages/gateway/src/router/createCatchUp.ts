import type { TimerService } from '@figmount/base'

/** A router hears of a change from the store and from an agent at about the same time; only later it counts as behind. */
const BEHIND_MS = 150

/** Time between two questions: one that is lost is asked again at another agent within half of what a change may take. */
const ASK_PERIOD_MS = 400

interface Options {
  readonly timers: TimerService
  /** Offset of the newest configuration that the router knows. */
  readonly ownOffset: () => number
  /** Asks an agent for the newest configuration. */
  readonly ask: (agentAddress: string) => void
}

/** Brings a router up to date that the store does not answer. */
export interface CatchUp {
  /** Takes in the offset of the newest configuration that an agent knows. */
  readonly note: (agentAddress: string, offset: number) => void
}

/**
 * Guards against a router that is cut off from the store, or whose read is never answered: it would go on by an old
 * configuration for seconds, as one that starts in an outage does. What other routers pass on goes through
 * two agents and may be lost with them; here each agent that is ahead is a way to learn of the change.
 */
export const createCatchUp = ({ timers, ownOffset, ask }: Options): CatchUp => {
  let askedMs = -Infinity
  return {
    note: (agentAddress, offset) => {
      if (offset <= ownOffset() || timers.nowMs() - askedMs < ASK_PERIOD_MS) return
      askedMs = timers.nowMs()
      timers.after(BEHIND_MS, () => { if (offset > ownOffset()) ask(agentAddress) })
    }
  }
}
