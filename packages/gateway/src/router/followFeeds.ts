import { EitherAsync } from 'purify-ts'
import { BaseEvent, runInBackground } from '@figmount/base'
import { createFeedFollower, createNewestDeployment, LONG_POLL_MS } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'
import { createLeavingFeed } from '../leavings/createLeavingFeed.js'
import { DUTY_REVIEW_MS, LIST_AGE_SHARE, LIST_SPREAD_SHARE } from './constants.js'
import { createListChanges } from './createListChanges.js'
import { createListWatch } from './createListWatch.js'
import { createReadSchedule } from './createReadSchedule.js'
import { createStoreWatch } from './createStoreWatch.js'

import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { Deployment, DeploymentCopy, FeedRead, FeedRecord, KeyedFeed, ListRead, RouterStorePort, StorePort } from '@figmount/fleet'
import type { Directory } from '../directory/types.js'
import type { ListWatch } from './createListWatch.js'

interface Options {
  readonly store: StorePort & Pick<RouterStorePort, 'leavingFeed'>
  readonly timers: TimerService
  readonly events: EventLog
  readonly directory: Directory
  /** Time within which routers must stop using a leaving server. */
  readonly leaveMs: number
  /** Time within which a configuration must be in force. */
  readonly applyMs: number
  readonly deploymentTaken: (deployment: Deployment) => void
  /** The router has a newer configuration, which others may lack. */
  readonly deploymentHeld: (version: number) => void
  /** The router reads the configuration from the store itself. */
  readonly mustReadDeployments: () => boolean
  /** The store answers again after an outage. */
  readonly storeRegained: () => void
  /** Sends a read of the list to other routers, which saves them their own. */
  readonly sendListRead: (read: ListRead) => void
  readonly routerCount: () => number
  readonly random: () => number
}

/** The feeds of one router. */
export interface Feeds {
  readonly deployment: () => Deployment | undefined
  /** Version of the configuration in force; -1 if there is none. */
  readonly deploymentVersion: () => number
  /** The configuration in force, for agents. */
  readonly deploymentCopy: () => DeploymentCopy | undefined
  /** Time since the latest part of the answer to the router's read of the configuration; Infinity while none arrives. */
  readonly deploymentQuietMs: () => number
  /** Time since the store was seen to have a newer configuration; 0 if it has none. */
  readonly deploymentBehindMs: () => number
  /** Takes a configuration that a peer has sent. */
  readonly takeDeployment: (record: FeedRecord) => void
  /** Ends the read of the configuration that waits at the store, if the router need not read it. */
  readonly reviewReads: () => void
  /** Applies another router's read; a possibly stale one does not postpone the router's own read. */
  readonly takeListRead: (read: ListRead, mayBeStale: boolean) => void
  readonly list: ListWatch
  readonly stop: () => void
}

/** A feed of which nothing is read as a whole before something else is known. */
const readAfter = (known: Promise<void>, feed: KeyedFeed): KeyedFeed => ({
  ...feed,
  readNewest: (timeoutMs, control) => EitherAsync(async ({ fromPromise }) => {
    const page = await fromPromise(feed.readNewest(timeoutMs, control).run())
    await known
    return page
  })
})

/** Follows the configuration, the list of servers and what is recorded of those that have left. */
export const followFeeds = (options: Options): Feeds => {
  const { store, timers, events, directory } = options
  const newest = createNewestDeployment({
    store,
    taken: (deployment, { offset }) => {
      events.emit(GatewayEvent.deploymentTaken, { version: String(deployment.version), offset, count: deployment.routes.length })
      options.deploymentTaken(deployment)
    },
    outdated: (deployment, { offset }) => { events.emit(BaseEvent.deploymentOutdated, { version: String(deployment.version), offset }) },
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

  const takeDeployments = (records: readonly FeedRecord[]): void => {
    const versionBefore = newest.version()
    newest.take(records)
    if (newest.version() > versionBefore) options.deploymentHeld(newest.version())
  }

  const deployments = createFeedFollower({
    feed: store.deploymentFeed,
    timers,
    events,
    onRestored: store.onRestored,
    waitMs: LONG_POLL_MS,
    dueInMs: () => options.mustReadDeployments() ? 0 : DUTY_REVIEW_MS,
    take: takeDeployments,
    takeKeys: () => {},
    missed: (offset, waitedMs) => {
      leavings.readAgain()
      events.emit(GatewayEvent.readMissed, { peer: store.deploymentFeed.name, offset, waitMs: Math.round(waitedMs) })
    },
    lost,
    regained: outageMs => regained(store.deploymentFeed.name, outageMs)
  })

  const leavings = createLeavingFeed({
    feed: store.leavingFeed,
    timers,
    events,
    leavings: directory.leavings,
    take: left => { directory.noteLeft(left, 'recorded in the store') },
    routerCount: options.routerCount,
    onRestored: store.onRestored,
    lost,
    regained: outageMs => regained(store.leavingFeed.name, outageMs),
    random: options.random
  })

  const listChanges = createListChanges({
    decodeServer: store.decodeServer,
    hasAgentState: serverId => directory.find(serverId)?.state !== undefined
  })

  // The configuration is asked for with each read of the list.
  const knownWithinMs = Math.min(options.leaveMs, options.applyMs)
  const readSchedule = createReadSchedule({
    timers,
    periodMs: knownWithinMs * LIST_AGE_SHARE,
    spreadMs: knownWithinMs * LIST_SPREAD_SHARE,
    random: options.random
  })

  const list = createListWatch(timers, () => { servers.readSoon() })

  const storeWatch = createStoreWatch({ timers, leaveMs: options.leaveMs, setDoubt: directory.missingEntries.setDoubt })

  /** The read that is taken now is the first one after the store has come back from an older copy. */
  let isCopyRead = false

  // Guards against reads of the configuration that wait on dead connections, at all processes at once. Of the routers that hear of each other's reads
  // of the list one alone reads at a time, so this costs all of them together one call more, over a connection that has just answered.
  const checkDeployments = (): void => {
    runInBackground(events, 'feeds.checkDeployments', deployments.checkEnd(store.deploymentFeed.readEnd))
  }

  const noteListRead = ({ stretch, isWhole, beganMs }: FeedRead): void => {
    checkDeployments()
    readSchedule.note(beganMs)
    storeWatch.noteTaken(beganMs)
    list.noteOwn(beganMs)
    const records = listChanges.take(stretch.records)
    // Guards against a server that others know to have left: they take it again by a record that renews what the copy says.
    if (isCopyRead) listChanges.reset()
    isCopyRead = false
    // A whole read does not contain the keys that were removed, so it cannot replace the reads of other routers.
    if (isWhole) return
    const ageMs = Math.ceil(timers.nowMs() - beganMs)
    const answeredForMs = Math.floor(storeWatch.answeredForMs(beganMs))
    options.sendListRead({ type: 'listRead', ...stretch, records, ageMs, answeredForMs, isAfterBreak: storeWatch.hasSeenBreak() })
  }

  const servers = createFeedFollower({
    feed: readAfter(leavings.firstRead, store.serverFeed),
    timers,
    events,
    onRestored: store.onRestored,
    waitMs: 0,
    dueInMs: readSchedule.dueInMs,
    take: (records, isCopy) => {
      if (!isCopy) return directory.takeRecords(records)
      isCopyRead = true
      storeWatch.noteRestored()
      directory.takeCopy(records)
    },
    takeKeys: directory.takeKeys,
    noteRead: noteListRead,
    noteAnswered: beganMs => { storeWatch.noteAnswered({ beganMs, answeredForMs: 0, isAfterBreak: false }) },
    noteFailed: storeWatch.noteFailed,
    lost,
    regained: outageMs => {
      options.storeRegained()
      // Guards against a network cut that leaves the reads that wait at the store on dead connections: they would wait for seconds
      // while requests are served by an older configuration. A router that receives no reads from others reads the list itself, which
      // shows the end of the cut; one that receives them also receives configurations.
      deployments.readNow()
      leavings.readNow()
      regained(store.serverFeed.name, outageMs)
    }
  })

  return {
    deployment: newest.current,
    deploymentVersion: newest.version,
    deploymentCopy: newest.copy,
    deploymentQuietMs: deployments.quietMs,
    deploymentBehindMs: deployments.behindMs,
    // Its version decides: the sender may have read an earlier era of the store, or a later one.
    takeDeployment: record => {
      deployments.offerNewest(record)
      takeDeployments([record])
    },
    reviewReads: () => { if (!options.mustReadDeployments()) deployments.pause() },
    takeListRead: (read, mayBeStale) => {
      const beganMs = timers.nowMs() - read.ageMs
      if (!mayBeStale) storeWatch.noteAnswered({ beganMs, answeredForMs: read.answeredForMs, isAfterBreak: read.isAfterBreak })
      if (!servers.offerRange(read)) return
      listChanges.take(read.records)
      if (mayBeStale) return
      readSchedule.note(beganMs)
      storeWatch.noteTaken(beganMs)
      list.noteOther(beganMs)
    },
    list,
    stop: () => {
      deployments.stop()
      leavings.stop()
      servers.stop()
      list.stop()
    }
  }
}
