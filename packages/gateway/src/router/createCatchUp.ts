import type { TimerService } from '@figmount/base'

/** A router gets a change from the store and from an agent at about the same time; it counts as behind only after this delay. */
const BEHIND_MS = 150

/** Time between two requests: a lost one is repeated to another agent within half of the time that a change may take. */
const ASK_PERIOD_MS = 400

interface Options {
  readonly timers: TimerService
  /** Offset of the router's newest configuration. */
  readonly ownOffset: () => number
  /** Requests the newest configuration from an agent; the router has been behind for `behindMs`. */
  readonly ask: (agentAddress: string, behindMs: number) => void
}

/** Brings a router up to date when it does not get the configuration from the store. */
export interface CatchUp {
  /** Takes the offset of an agent's newest configuration. */
  readonly note: (agentAddress: string, offset: number) => void
}

/**
 * Creates the catch-up of one router.
 *
 * Guards against a router that is cut off from the store, or whose read is never answered: it would use an old configuration for
 * seconds, as would one that starts during an outage. The records that other routers relay pass through two agents and may be lost with
 * them; here any agent that is ahead can provide the change.
 */
export const createCatchUp = ({ timers, ownOffset, ask }: Options): CatchUp => {
  let askedMs = -Infinity
  let behindSinceMs: number | undefined
  return {
    note: (agentAddress, offset) => {
      if (offset <= ownOffset()) {
        behindSinceMs = undefined
        return
      }
      const nowMs = timers.nowMs()
      behindSinceMs ??= nowMs
      if (nowMs - askedMs < ASK_PERIOD_MS) return
      askedMs = nowMs
      const sinceMs = behindSinceMs
      timers.after(BEHIND_MS, () => { if (offset > ownOffset()) ask(agentAddress, timers.nowMs() - sinceMs) })
    }
  }
}
