import { createFeedFollower, createNewestDeployment } from '@figmount/fleet'

import { SidecarEvent } from '../events.js'
import { ALONE_READ_MS, LINKED_READ_MS } from './constants.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { Deployment, Relay, StorePort } from '@figmount/fleet'

interface Options {
  readonly store: StorePort
  readonly timers: TimerService
  readonly events: EventLog
  /** Some router is linked. */
  readonly hasRouters: () => boolean
}

/** The configuration as one agent knows it. */
export interface FollowedDeployment {
  readonly current: () => Deployment | undefined
  /** Offset of the newest configuration; -1 for none. */
  readonly offset: () => number
  /** Takes in what a router has read. */
  readonly takeRelay: (relay: Relay) => void
  /** The newest configuration as a router would pass it on. */
  readonly relay: () => Relay | undefined
  readonly stop: () => void
}

/** Follows the configuration, by what routers pass on and, now and then, by the store. */
export const followDeployment = ({ store, timers, events, hasRouters }: Options): FollowedDeployment => {
  const feed = store.deploymentFeed
  let readMs = -Infinity

  // Routers may all go at any moment, so it is looked at again before a read by them is due.
  const dueInMs = (): number => {
    const periodMs = hasRouters() ? LINKED_READ_MS : ALONE_READ_MS
    return Math.max(0, Math.min(ALONE_READ_MS, readMs + periodMs - timers.nowMs()))
  }

  const newest = createNewestDeployment({
    store,
    taken: (deployment, { offset }) => {
      events.emit(SidecarEvent.deploymentTaken, { version: String(deployment.version), offset })
    },
    refused: (fault, { offset }) => {
      events.emit(SidecarEvent.recordRefused, { step: fault.step, peer: fault.peer, reason: fault.message, offset })
    }
  })

  const follower = createFeedFollower({
    feed,
    timers,
    events,
    waitMs: 0,
    dueInMs,
    noteRead: ({ beganMs }) => { readMs = beganMs },
    take: newest.take,
    takeKeys: () => {},
    lost: fault => { events.emit(SidecarEvent.feedLost, { step: fault.step, peer: fault.peer, reason: fault.message }) },
    regained: outageMs => { events.emit(SidecarEvent.feedRegained, { peer: feed.name, durationMs: Math.round(outageMs) }) }
  })

  return {
    current: newest.current,
    offset: newest.offset,
    takeRelay: relay => { if (relay.feedName === feed.name) follower.offer(relay.records) },
    relay: () => {
      const record = newest.record()
      return record && { type: 'relay', feedName: feed.name, records: [record] }
    },
    stop: follower.stop
  }
}
