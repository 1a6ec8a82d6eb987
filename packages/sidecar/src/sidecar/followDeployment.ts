import { BaseEvent } from '@figmount/base'
import { createFeedFollower, createNewestDeployment, LONG_POLL_MS } from '@figmount/fleet'

import { SidecarEvent } from '../events.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { Deployment, DeploymentCopy, FeedRecord, StorePort } from '@figmount/fleet'

interface Options {
  readonly store: StorePort
  readonly timers: TimerService
  readonly events: EventLog
}

/** The newest configuration that one agent has received. */
export interface FollowedDeployment {
  readonly current: () => Deployment | undefined
  /** Version of the newest configuration; -1 for none. */
  readonly version: () => number
  /** The newest configuration, for routers. */
  readonly copy: () => DeploymentCopy | undefined
  /** Takes a configuration that a router has sent. */
  readonly take: (record: FeedRecord) => void
  /** Time since the latest part of the answer to the agent's read; Infinity while none arrives. */
  readonly quietMs: () => number
  /** Begins the read that waits at the store again, unless its answer has begun. */
  readonly readAgain: () => void
  /** The latest read of the store has succeeded. */
  readonly isFollowing: () => boolean
  readonly stop: () => void
}

/** Follows the configuration by reading the store and by copies that routers send. */
export const followDeployment = ({ store, timers, events }: Options): FollowedDeployment => {
  const feed = store.deploymentFeed
  const newest = createNewestDeployment({
    store,
    taken: (deployment, { offset }) => {
      events.emit(SidecarEvent.deploymentTaken, { version: String(deployment.version), offset })
    },
    outdated: (deployment, { offset }) => { events.emit(BaseEvent.deploymentOutdated, { version: String(deployment.version), offset }) },
    refused: (fault, { offset }) => {
      events.emit(SidecarEvent.recordRefused, { step: fault.step, peer: fault.peer, reason: fault.message, offset })
    }
  })

  const follower = createFeedFollower({
    feed,
    timers,
    events,
    onRestored: store.onRestored,
    waitMs: LONG_POLL_MS,
    dueInMs: () => 0,
    take: newest.take,
    takeKeys: () => {},
    lost: fault => { events.emit(SidecarEvent.feedLost, { step: fault.step, peer: fault.peer, reason: fault.message }) },
    regained: outageMs => { events.emit(SidecarEvent.feedRegained, { peer: feed.name, durationMs: Math.round(outageMs) }) }
  })

  return {
    current: newest.current,
    version: newest.version,
    copy: newest.copy,
    // Its version decides: the sender may have read an earlier era of the store, or a later one.
    take: record => {
      follower.offerNewest(record)
      newest.take([record])
    },
    quietMs: follower.quietMs,
    readAgain: follower.pause,
    isFollowing: follower.isFollowing,
    stop: follower.stop
  }
}
