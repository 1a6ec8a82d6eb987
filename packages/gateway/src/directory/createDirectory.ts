import { failureShareAt, noFailures, noteOutcome } from '@figmount/decisions'
import { isEarlierStart, isSameStart } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'
import { createLeavings } from '../leavings/createLeavings.js'
import { createStartOrder } from '../leavings/createStartOrder.js'
import { sortTimes } from '../leavings/mergeLeft.js'
import { isGone, isStaleReport, NO_REPORT } from './agentReports.js'
import { MAX_REFUSED_KEYS } from './constants.js'
import { createDepartures } from './createDepartures.js'
import { createMissingEntries } from './createMissingEntries.js'
import { createOwnRequests } from './createOwnRequests.js'
import { createPrefixIndex } from './createPrefixIndex.js'
import { createSoftwareVersions } from './createSoftwareVersions.js'

import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { FailureShare } from '@figmount/decisions'
import type { AgentState, FeedRecord, ServerEntry, ServerStart, StorePort } from '@figmount/fleet'
import type { LeftStart } from '../leavings/types.js'
import type { AgentReport } from './agentReports.js'
import type { Directory, KnownServer, StateListener } from './types.js'

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly decodeServer: StorePort['decodeServer']
  /** The service is part of the configuration in force. */
  readonly isServiceConfigured: (serviceName: string) => boolean
  readonly onEntry: (entry: ServerEntry) => void
}

/** Creates the directory of one router. */
export const createDirectory = ({ timers, events, decodeServer, isServiceConfigured, onEntry }: Options): Directory => {
  const entries = new Map<string, ServerEntry>()
  const newestStarts = new Map<string, ServerStart>()
  const reports = new Map<string, AgentReport>()
  const failures = new Map<string, FailureShare>()
  const own = createOwnRequests()
  const departures = createDepartures(timers)
  const order = createStartOrder(timers)
  const leavings = createLeavings(timers, order)
  const versions = createSoftwareVersions(timers)
  const stateListeners = new Set<StateListener>()
  const replaced = new Set<string>()
  const prefixes = createPrefixIndex()
  const refusedKeys = new Set<string>()
  const leavingAddresses = new Set<string>()
  /** Entries that were left out, by server. */
  const leftOut = new Map<string, ServerEntry>()
  let isListRead = false

  const startOf = (serverId: string): ServerStart => newestStarts.get(serverId) ?? { serverId, startedAtUnixMs: undefined }

  const leftStart = (start: ServerStart, lastHeartbeat: number | undefined): LeftStart =>
    ({ serverId: start.serverId, startedAtUnixMs: start.startedAtUnixMs, lastHeartbeat, earlierTimes: sortTimes(order.earlierTimes(start)) })

  const forget = (serverId: string): void => {
    prefixes.forget(serverId)
    failures.delete(serverId)
    replaced.delete(serverId)
  }

  const remove = (serverId: string, reason: string): void => {
    const entry = entries.get(serverId)
    if (!entry) return
    entries.delete(serverId)
    forget(serverId)
    newestStarts.delete(serverId)
    departures.note(serverId, entry.address)
    versions.noteGone(entry)
    events.emit(GatewayEvent.serverLeft, { peer: serverId, heartbeatNumber: entry.heartbeatNumber, reason })
  }

  const removeUnlisted = (serverId: string, reason: string): void => {
    const entry = entries.get(serverId)
    const start = entry && newestStarts.get(serverId)
    // The entry may be a late one of an earlier start, or the current start may not have written one yet.
    if (entry && start && !isSameStart(entry, start)) leavings.note(leftStart(start, 0))
    else if (entry) leavings.note(leftStart(entry, entry.heartbeatNumber))
    remove(serverId, reason)
  }

  const missingEntries = createMissingEntries(timers, events, removeUnlisted)

  // Guards against mistaking a server that has restarted under the same id for its previous start, whose models, failures, requests and
  // cached prefixes are gone. It would get requests for models it no longer holds, and streams that ran on the previous start would
  // stay silent.
  const noteStart = ({ serverId, startedAtUnixMs }: ServerStart): void => {
    const start = { serverId, startedAtUnixMs }
    if (startedAtUnixMs === undefined || newestStarts.get(serverId)?.startedAtUnixMs === startedAtUnixMs) return
    const isRestart = !isSameStart(start, startOf(serverId))
    newestStarts.set(serverId, start)
    order.note(start, leavings.timesBefore(start))
    // Guards against a server whose clock was set back before this start: routers that start later would take it for one that has left.
    if (order.earlierTimes(start).some(time => time > startedAtUnixMs)) leavings.note(leftStart(start, 0))
    if (!isRestart) return
    forget(serverId)
    departures.forget(serverId)
    events.emit(GatewayEvent.serverRestarted, { peer: serverId })
  }

  const noteReport = (state: AgentState): void => {
    if (entries.has(state.serverId) && !isStaleReport(state, startOf(state.serverId))) noteStart(state)
  }

  const highestHeartbeat = (entry: ServerEntry, known: ServerEntry | undefined): number =>
    known && isSameStart(known, entry) ? Math.max(known.heartbeatNumber, entry.heartbeatNumber) : entry.heartbeatNumber

  const logOlder = (entry: ServerEntry, known: ServerEntry | undefined, source: string): void => {
    const { serverId, heartbeatNumber } = entry
    const fields = { peer: serverId, heartbeatNumber, reason: source }
    const isLeftOut = leavings.isFromBefore(entry)
    const highest = highestHeartbeat(entry, known)
    if (isLeftOut) events.emit(GatewayEvent.entryOutdated, { ...fields, detail: 'its server has left' })
    else if (order.isKnownBefore(entry)) events.emit(GatewayEvent.entryOutdated, { ...fields, detail: 'a later start is known' })
    else if (heartbeatNumber < highest) events.emit(GatewayEvent.entryOutdated, { ...fields, detail: `heartbeat ${highest} is known` })
    const isReadyNow = !entry.isDraining && known?.isDraining !== false
    if (!isReadyNow || departures.addressOf(serverId) === undefined) return
    events.emit(GatewayEvent.serverReturned, { ...fields, detail: isLeftOut || leavings.isLeaving(startOf(serverId)) ? 'left out' : 'taken again' })
  }

  const takeEntry = (entry: ServerEntry, source: string): void => {
    const { serverId, heartbeatNumber } = entry
    const known = entries.get(serverId)
    order.noteEntry(entry)
    // An entry may be seconds old and belong to the start before the one that the agent has reported.
    const isOfEarlierStart = order.isBefore(entry)
    if (!isOfEarlierStart && !leavings.isFromBefore(entry)) noteStart(entry)
    // No start that drains takes requests again, whichever entry lists it as ready later.
    if (entry.isDraining && !isOfEarlierStart) leavings.note(leftStart(entry, undefined))
    logOlder(entry, known, source)
    missingEntries.noteListed(serverId)
    // Guards against a heartbeat that the store carries out after its server has left, or started again.
    if (leavings.isFromBefore(entry) || order.isKnownBefore(entry)) {
      leftOut.set(serverId, entry)
      return
    }
    leftOut.delete(serverId)
    // While a server is listed its newest record counts: its next heartbeat replaces an older one, or one of another writer.
    entries.set(serverId, { ...entry, heartbeatNumber: highestHeartbeat(entry, known) })
    if (known && known.softwareVersion !== entry.softwareVersion) versions.noteGone(known)
    if (!known) departures.forget(serverId)
    if (entry.isDraining) departures.note(serverId, entry.address)
    if (!known) events.emit(GatewayEvent.serverTaken, { peer: serverId, heartbeatNumber, service: entry.serviceName, detail: entry.address })
    if (!known?.isDraining && entry.isDraining) events.emit(GatewayEvent.serverLeft, { peer: serverId, heartbeatNumber, reason: 'listed as draining' })
    onEntry(entry)
  }

  // Guards against an entry that another program wrote or overwrote: its server is unknown, so it must not get requests, and neither
  // must the server that was listed under this key before. The server's next valid entry restores it.
  const refuseEntry = (fault: Fault, { key, offset }: FeedRecord): void => {
    missingEntries.noteListed(key)
    remove(key, 'its entry cannot be read')
    if (refusedKeys.has(key) || refusedKeys.size >= MAX_REFUSED_KEYS) return
    refusedKeys.add(key)
    events.emit(GatewayEvent.recordRefused, { step: fault.step, peer: fault.peer, reason: fault.message, offset })
  }

  const takeRecord = (record: FeedRecord, source: string): void => {
    if (!record.value) {
      refusedKeys.delete(record.key)
      leftOut.delete(record.key)
      return missingEntries.noteMissing(record.key)
    }
    decodeServer(record.key, record.value).caseOf({
      Left: fault => { refuseEntry(fault, record) },
      Right: entry => {
        refusedKeys.delete(record.key)
        takeEntry(entry, source)
      }
    })
  }

  // Guards against an entry from before its server left: the copy lists it as ready again, and its server may even still answer. A server
  // that runs renews its entry within two seconds.
  const isOfServerThatLeft = ({ key, value }: FeedRecord): boolean => {
    if (!value || departures.addressOf(key) === undefined) return false
    return decodeServer(key, value).map(entry => !isEarlierStart(startOf(key), entry)).orDefault(false)
  }

  const takeRecords = (records: readonly FeedRecord[], source = 'the list'): void => {
    missingEntries.settle()
    for (const record of records) takeRecord(record, source)
    isListRead = true
  }

  // A server may disappear from the list before its agent reports the death, or between that report and a check of it.
  const isDeadUnlisted = (start: ServerStart): boolean => {
    const report = reports.get(departures.addressOf(start.serverId) ?? '') ?? NO_REPORT
    const { state } = report
    if (!state) return false
    if (isSameStart(state, start)) return !state.isUp
    return state.serverId === start.serverId ? !isStaleReport(state, start) : isGone(report, start)
  }

  // Guards against a server that goes on writing after its clock was set back: routers that read for others pass on its first entry alone.
  const reviewLeftOut = (serverId: string, source: string): void => {
    const entry = leftOut.get(serverId)
    if (entry && !leavings.isFromBefore(entry)) takeEntry(entry, source)
  }

  const noteLeft = (left: LeftStart, source: string): boolean => {
    if (!leavings.note(left)) return false
    order.learn(left, left.earlierTimes)
    reviewLeftOut(left.serverId, source)
    const entry = entries.get(left.serverId)
    if (entry && leavings.isFromBefore(entry)) remove(left.serverId, source)
    if (left.lastHeartbeat !== undefined) return true
    if (entry) departures.note(left.serverId, entry.address)
    events.emit(GatewayEvent.serverLeft, { peer: left.serverId, reason: source })
    return true
  }

  const view = (listed: ServerEntry): KnownServer => {
    // Guards against a server whose entry cannot show that it leaves, as it does not reach the store or the store is away.
    const entry = leavings.isLeaving(startOf(listed.serverId)) ? { ...listed, isDraining: true } : listed
    const report = reports.get(entry.address) ?? NO_REPORT
    const start = startOf(entry.serverId)
    const isReplaced = isGone(report, entry)
    // The list may show a restart before the agent does: the agent's report then still describes the previous start.
    const isReportOfStart = !isReplaced && report.state !== undefined && (report.state.serverId === '' || isSameStart(report.state, start))
    const load = own.loadAt(start)
    return {
      entry: isSameStart(entry, start) ? entry : { ...entry, models: [] },
      start,
      state: isReportOfStart ? report.state : undefined,
      load: isReportOfStart ? report.load : undefined,
      isReplaced: isReplaced || replaced.has(entry.serverId),
      stateAsOfMs: report.stateAsOfMs,
      failures: failures.get(entry.serverId) ?? noFailures(timers.nowMs()),
      ownCount: load.count,
      ownStartingCount: load.startingCount,
      pendingTokens: load.pendingTokens
    }
  }

  const mayServe = (server: KnownServer): boolean => {
    if (server.entry.isDraining || server.isReplaced) return false
    return !server.state || (server.state.isUp && !server.state.isDraining)
  }

  // Entries of services that are not configured yet are kept: a later configuration may add them.
  const configuredEntries = (): readonly ServerEntry[] => [...entries.values()].filter(entry => isServiceConfigured(entry.serviceName))

  return {
    takeRecords,
    takeCopy: records => {
      takeRecords(records.filter(record => !isOfServerThatLeft(record)), 'an older copy of the list')
    },
    takeKeys: keys => {
      for (const serverId of [...entries.keys()]) {
        if (!keys.has(serverId)) missingEntries.noteMissing(serverId)
      }
      for (const serverId of [...leftOut.keys()]) {
        if (!keys.has(serverId)) leftOut.delete(serverId)
      }
      isListRead = true
    },
    missingEntries,
    takeState: (address, state) => {
      const report = reports.get(address) ?? NO_REPORT
      reports.set(address, { ...report, state, stateAsOfMs: timers.nowMs(), lastMessageMs: timers.nowMs() })
      noteReport(state)
      if (state.goneStarts !== report.state?.goneStarts) departures.noteGone(state.goneStarts)
      if (state.isDraining) departures.note(state.serverId, address)
      if (state.leavingModels.length > 0) leavingAddresses.add(address)
      else leavingAddresses.delete(address)
      prefixes.retainModels(state.serverId, new Set(state.models.map(model => model.name)))
      for (const listener of [...stateListeners]) listener(address, state)
    },
    takeLoad: (address, load) => {
      const report = reports.get(address) ?? NO_REPORT
      reports.set(address, { ...report, load, lastMessageMs: timers.nowMs() })
    },
    loseAgent: address => {
      reports.delete(address)
      leavingAddresses.delete(address)
    },
    leavingAddresses: () => leavingAddresses,
    hasLeaving: () => leavingAddresses.size > 0,
    onState: listener => {
      stateListeners.add(listener)
      return () => { stateListeners.delete(listener) }
    },
    serving: serviceName => {
      missingEntries.settle()
      const servers: KnownServer[] = []
      for (const entry of entries.values()) {
        if (entry.serviceName !== serviceName) continue
        const server = view(entry)
        if (mayServe(server)) servers.push(server)
      }
      return servers
    },
    versionsOf: serviceName => versions.of(serviceName, entries.values()),
    takeVersions: versions.takeRecorded,
    knowsVersions: versions.areKnown,
    loneVersionOf: versions.loneBefore,
    find: serverId => {
      const entry = entries.get(serverId)
      return entry && view(entry)
    },
    isDead: start => {
      const entry = entries.get(start.serverId)
      if (!entry) return isDeadUnlisted(start)
      if (!isSameStart(start, startOf(start.serverId))) return true
      const server = view(entry)
      return server.isReplaced || server.state?.isUp === false
    },
    isLeaving: start => {
      const entry = entries.get(start.serverId)
      if (entry && !isSameStart(start, startOf(start.serverId))) return false
      const { state } = reports.get(entry?.address ?? departures.addressOf(start.serverId) ?? '') ?? NO_REPORT
      if (state && state.serverId !== '' && !isSameStart(state, start)) return false
      return !entry || view(entry).entry.isDraining
    },
    hasExitedGracefully: departures.hasExitedGracefully,
    entries: configuredEntries,
    lastMessageMs: address => (reports.get(address) ?? NO_REPORT).lastMessageMs,
    starts: () => configuredEntries().map(entry => startOf(entry.serverId)),
    failureShareOf: server => failureShareAt(server.failures, timers.nowMs()),
    runningModels: address => {
      const names: string[] = []
      for (const { start, models } of own.runs()) {
        if (entries.get(start.serverId)?.address !== address || !isSameStart(start, startOf(start.serverId))) continue
        names.push(...models.keys())
      }
      return names
    },
    own,
    noteOutcome: (start, hasFailed) => {
      const { serverId } = start
      if (!isSameStart(start, startOf(serverId))) return
      const nowMs = timers.nowMs()
      failures.set(serverId, noteOutcome(failures.get(serverId) ?? noFailures(nowMs), hasFailed, nowMs))
    },
    noteLeaving: (start, source) => noteLeft(leftStart(start, undefined), source),
    noteLeft,
    leavings,
    noteReplaced: start => {
      if (isSameStart(start, startOf(start.serverId))) replaced.add(start.serverId)
    },
    prefixes,
    hasList: () => isListRead
  }
}
