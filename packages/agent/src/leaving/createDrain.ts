import { sleep } from '@figmount/base'

import { AgentEvent } from '../events.js'

import type { AgentContext } from '../agent/types.js'
import type { Listing } from '../membership/watchInstances.js'

/** Why an agent takes no new work. */
export type DrainReason = 'stop' | 'operator' | 'instanceList'

interface Options {
  readonly context: AgentContext
  readonly listing: () => Listing
  readonly refreshListing: () => Promise<void>
  /** True when nothing runs or waits. */
  readonly isIdle: () => boolean
  /** True when the last frames have reached the routers. */
  readonly isDelivered: () => boolean
  /** True when no right is held and no order is open. */
  readonly hasReleasedAll: () => boolean
  readonly onChange: (reason: DrainReason | undefined) => void
  /** Ends what is left at the deadline. */
  readonly cancelAll: () => void
}

/** Whether and why the agent is leaving. */
export interface Drain {
  readonly reason: () => DrainReason | undefined
  /** True when the rights are to be given back: the instance goes away for good and nothing is left to do. */
  readonly isReleasingAll: () => boolean
  readonly update: () => void
  /** Begins the stop and resolves when it is done, at the latest at the deadline. */
  readonly finish: () => Promise<void>
}

const POLL_MS = 20

/** Time for the last frames to be acknowledged. Grounds: a router that is silent for longer is given up. */
const DELIVERY_TIMEOUT_MS = 3_000

/** Time for unloads and the release of rights at the end of a stop; what is left is voided later. */
const RELEASE_TIMEOUT_MS = 5_000

/** Makes the drain of one agent. */
export const createDrain = (options: Options): Drain => {
  const { context: { records, events, timers, settings, instance } } = options
  let isStopping = false
  let lastReason: DrainReason | undefined

  const reason = (): DrainReason | undefined => {
    if (isStopping) return 'stop'
    if (records.state().agents.get(instance)?.draining) return 'operator'
    return options.listing().leaving ? 'instanceList' : undefined
  }

  const isLeavingForGood = (): boolean =>
    options.listing().leaving || (records.state().agents.get(instance)?.draining ?? false)

  const update = (): void => {
    const current = reason()
    if (current === lastReason) return
    lastReason = current
    if (current) events.emit(AgentEvent.drainStarted, { reason: current })
    else events.emit(AgentEvent.drainEnded)
    options.onChange(current)
  }

  const waitFor = async (done: () => boolean, limitMs: number): Promise<boolean> => {
    const untilMs = timers.nowMs() + limitMs
    while (!done()) {
      if (timers.nowMs() >= untilMs) return false
      await sleep(timers, POLL_MS)
    }
    return true
  }

  return {
    reason,
    isReleasingAll: () => isLeavingForGood() && options.isIdle(),
    update,
    finish: async () => {
      isStopping = true
      update()
      // Guards against a leave that is announced in the list just before the stop: by what was read
      // seconds ago this is a restart, and rights that nobody gave back wait half a minute for a void.
      const refreshed = options.refreshListing()
      if (await waitFor(options.isIdle, settings.limits.drain_ms)) {
        events.emit(AgentEvent.drainEmpty)
      } else {
        events.emit(AgentEvent.drainDeadline)
        options.cancelAll()
        await waitFor(options.isIdle, DELIVERY_TIMEOUT_MS)
      }
      await waitFor(options.isDelivered, DELIVERY_TIMEOUT_MS)
      await refreshed
      if (isLeavingForGood()) await waitFor(options.hasReleasedAll, RELEASE_TIMEOUT_MS)
    }
  }
}
