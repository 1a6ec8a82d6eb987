import { createFeedFollower, createNewestDeployment, isSameStart } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'
import { CONFIG_WAIT_MS, POLL_SHARE } from './constants.js'

import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { Deployment, FeedRecord, StorePort } from '@figmount/fleet'
import type { Directory } from '../directory/types.js'

interface Options {
  readonly store: StorePort
  readonly timers: TimerService
  readonly events: EventLog
  readonly directory: Directory
  /** Time within which a leaving server must be left alone. */
  readonly leaveMs: number
  readonly deploymentTaken: (deployment: Deployment) => void
  /** Passes on what other routers may have missed. */
  readonly relay: (feedName: string, records: readonly FeedRecord[]) => void
}

/** The feeds of one router. */
export interface Feeds {
  readonly deployment: () => Deployment | undefined
  /** Offset of the configuration in force; -1 for none. */
  readonly deploymentOffset: () => number
  readonly takeRelay: (feedName: string, records: readonly FeedRecord[]) => void
  readonly stop: () => void
}

/** Follows the configuration and the list of servers. */
export const takeFeeds = (options: Options): Feeds => {
  const { store, timers, events, directory } = options
  const newest = createNewestDeployment({
    store,
    taken: (deployment, { offset }) => {
      events.emit(GatewayEvent.deploymentTaken, { version: String(deployment.version), offset, count: deployment.routes.length })
      options.deploymentTaken(deployment)
    },
    refused: (fault, { offset }) => {
      events.emit(GatewayEvent.recordRefused, { step: fault.step, peer: fault.peer, reason: fault.message, offset })
    }
  })

  const lost = (fault: Fault): void => {
    events.emit(GatewayEvent.feedLost, { step: fault.step, peer: fault.peer, reason: fault.message })
  }

  const regained = (feedName: string, outageMs: number): void => {
    events.emit(GatewayEvent.feedRegained, { peer: feedName, durationMs: Math.round(outageMs) })
  }

  const deployments = createFeedFollower({
    feed: store.deploymentFeed,
    timers,
    events,
    waitMs: CONFIG_WAIT_MS,
    periodMs: 0,
    take: records => {
      newest.take(records)
      options.relay(store.deploymentFeed.name, records)
    },
    takeKeys: () => {},
    lost,
    regained: outageMs => regained(store.deploymentFeed.name, outageMs)
  })

  const isNews = (record: FeedRecord): boolean => {
    const known = directory.find(record.key)
    if (!record.value) return known !== undefined
    const entry = store.decodeServer(record.key, record.value).toMaybe().extractNullable()
    if (!entry) return known !== undefined
    return !known || known.entry.isDraining !== entry.isDraining || !isSameStart(known.start, entry)
  }

  const servers = createFeedFollower({
    feed: store.serverFeed,
    timers,
    events,
    waitMs: 0,
    periodMs: options.leaveMs * POLL_SHARE,
    take: records => {
      const news = records.filter(isNews)
      directory.takeRecords(records)
      if (news.length > 0) options.relay(store.serverFeed.name, news)
    },
    takeKeys: directory.takeKeys,
    lost: fault => {
      directory.noteOutage()
      lost(fault)
    },
    regained: outageMs => {
      directory.noteRegained()
      // Guards against a cut that leaves the read of the configuration waiting on a connection that is dead: it would wait
      // on for seconds, and requests would be handled by an older configuration. The list is read more often and shows the
      // end of the cut.
      deployments.hurry()
      regained(store.serverFeed.name, outageMs)
    }
  })

  return {
    deployment: newest.current,
    deploymentOffset: newest.offset,
    takeRelay: (feedName, records) => {
      if (feedName === store.deploymentFeed.name) deployments.offer(records)
      if (feedName === store.serverFeed.name) servers.offer(records)
    },
    stop: () => {
      deployments.stop()
      servers.stop()
    }
  }
}
