import { mustReadStore } from '@figmount/decisions'

import type { TimerService } from '@figmount/base'
import type { CopyFetch } from '@figmount/fleet'
import type { Feeds } from './followFeeds.js'

interface Options {
  readonly timers: TimerService
  /** Bandwidth of the router's own link. */
  readonly linkMbps: number
  readonly feeds: Pick<Feeds, 'deployment' | 'deploymentBehindMs'>
  readonly copyFetch: Pick<CopyFetch, 'failedCount' | 'isOffered'>
}

/** Whether a router reads the configuration from the store itself or relies on the agents. */
export interface ReadDuty {
  readonly noteState: (address: string, followsDeployments: boolean) => void
  readonly lose: (address: string) => void
  /** The store answers again after an outage. */
  readonly noteRegained: () => void
  readonly isDue: () => boolean
}

/** Creates the read duty of one router. */
export const createReadDuty = ({ timers, linkMbps, feeds, copyFetch }: Options): ReadDuty => {
  const following = new Set<string>()
  let regainedMs = -Infinity
  return {
    noteState: (address, followsDeployments) => {
      if (followsDeployments) following.add(address)
      else following.delete(address)
    },
    lose: address => { following.delete(address) },
    noteRegained: () => { regainedMs = timers.nowMs() },
    isDue: () => mustReadStore({
      hasConfiguration: feeds.deployment() !== undefined,
      linkMbps,
      followingCount: following.size,
      sinceOutageMs: timers.nowMs() - regainedMs,
      failedFetchCount: copyFetch.failedCount(),
      behindMs: feeds.deploymentBehindMs(),
      isOffered: copyFetch.isOffered()
    })
  }
}
