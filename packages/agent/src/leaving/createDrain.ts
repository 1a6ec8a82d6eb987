import { sleep } from '@figmount/base'

import { AgentEvent } from '../events.js'

import type { AgentContext } from '../agent/types.js'
import type { Listing } from '../membership/watchInstances.js'

/** Why an agent accepts no new work. */
export type DrainReason = 'stop' | 'operator' | 'instanceList'

interface Options {
  readonly context: AgentContext
  readonly listing: () => Listing
  readonly refreshListing: () => Promise<void>
  /** True if nothing is running or queued. */
  readonly isIdle: () => boolean
  /** True if the routers have received the last frames. */
  readonly isDelivered: () => boolean
  /** True if no right is held and no order is open. */
  readonly hasReleasedAll: () => boolean
  readonly onChange: (reason: DrainReason | undefined) => void
  /** Cancels the remaining work at the deadline. */
  readonly cancelAll: () => void
}

/** Whether the agent is draining, and why. */
export interface Drain {
  readonly reason: () => DrainReason | undefined
  /** True if all rights are to be released: the instance leaves permanently and no work is left. */
  readonly isReleasingAll: () => boolean
  readonly update: () => void
  /** Starts the stop; resolves when it is complete or at the deadline. */
  readonly finish: () => Promise<void>
}

const POLL_MS = 20

/** Time for the last frames to be acknowledged; a router that is silent for longer is considered dead. */
const DELIVERY_TIMEOUT_MS = 3_000

/** Time for unloads and the release of rights at the end of a stop; rights still held are voided later. */
const RELEASE_TIMEOUT_MS = 5_000

/** Creates the drain of one agent. */
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
      // The list may have marked the instance as leaving just before the stop. A listing read seconds earlier would not
      // show it, so the stop would look like a restart, and unreleased rights would wait half a minute for a void.
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
