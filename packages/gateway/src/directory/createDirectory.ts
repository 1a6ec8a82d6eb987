import { failureShareAt, noFailures, noteOutcome } from '@figmount/decisions'
import { REAPPEAR_MS } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'
import { MAX_REFUSED_KEYS } from './constants.js'
import { createOwnRequests } from './createOwnRequests.js'
import { createPrefixMemory } from './createPrefixMemory.js'

import type { EventLog, Fault, TimerService, Unsubscribe } from '@figmount/base'
import type { FailureShare } from '@figmount/decisions'
import type { AgentLoad, AgentState, FeedRecord, ServerEntry, StorePort } from '@figmount/fleet'
import type { KnownServer } from './types.js'
import type { OwnRequests } from './createOwnRequests.js'
import type { PrefixMemory } from './createPrefixMemory.js'

interface AgentWord {
  readonly state: AgentState | undefined
  readonly load: AgentLoad | undefined
  readonly stateAsOfMs: number
}

/** Hears of what an agent tells of the engine at an address. */
export type StateListener = (address: string, state: AgentState) => void

/** All backend servers that a router knows, by the platform's list, the agents' word and its own requests. */
export interface Directory {
  readonly takeRecords: (records: readonly FeedRecord[]) => void
  /** The list was read whole: servers that are missing have gone. */
  readonly takeKeys: (keys: ReadonlySet<string>) => void
  readonly noteOutage: () => void
  readonly noteRegained: () => void
  readonly takeState: (address: string, state: AgentState) => void
  readonly takeLoad: (address: string, load: AgentLoad) => void
  readonly loseAgent: (address: string) => void
  /** Calls a listener with each state that an agent tells, after it was taken in. */
  readonly onState: (listener: StateListener) => Unsubscribe
  /** Servers of a service that may get new requests. */
  readonly serving: (serviceName: string) => readonly KnownServer[]
  readonly find: (serverId: string) => KnownServer | undefined
  /** The server has ended or was replaced, by its agent's word; one that is only unlisted may still finish what it runs. */
  readonly isDead: (serverId: string) => boolean
  /** Servers that are listed for a service of the configuration in force. */
  readonly entries: () => readonly ServerEntry[]
  readonly failureShareOf: (server: KnownServer) => number
  /** Models of own requests that run at an address. */
  readonly runningModels: (address: string) => readonly string[]
  readonly own: OwnRequests
  readonly noteOutcome: (serverId: string, hasFailed: boolean) => void
  /** The address belongs to another server now. */
  readonly noteReplaced: (serverId: string) => void
  readonly prefixes: PrefixMemory
  readonly isKnown: () => boolean
}

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly decodeServer: StorePort['decodeServer']
  /** The configuration in force names the service. */
  readonly isServiceNamed: (serviceName: string) => boolean
  readonly entryTaken: (entry: ServerEntry) => void
}

const NO_WORD: AgentWord = { state: undefined, load: undefined, stateAsOfMs: -Infinity }

/** Makes the directory of one router. */
export const createDirectory = ({ timers, events, decodeServer, isServiceNamed, entryTaken }: Options): Directory => {
  const entries = new Map<string, ServerEntry>()
  const words = new Map<string, AgentWord>()
  const failures = new Map<string, FailureShare>()
  const own = createOwnRequests()
  const stateListeners = new Set<StateListener>()
  const replaced = new Set<string>()
  const prefixes = createPrefixMemory()
  const missingSinceOutage = new Set<string>()
  const refusedKeys = new Set<string>()
  let isAway = false
  let regainedMs = -Infinity
  let isKnown = false

  const remove = (serverId: string, reason: string): void => {
    if (!entries.delete(serverId)) return
    prefixes.forget(serverId)
    failures.delete(serverId)
    replaced.delete(serverId)
    events.emit(GatewayEvent.serverLeft, { peer: serverId, reason })
  }

  // Guards against the loss of every server after an outage of the store: entries lapse while servers cannot write
  // there, and come back within two seconds of its return. Until then a missing entry proves nothing.
  const isSettling = (): boolean => isAway || timers.nowMs() - regainedMs < REAPPEAR_MS

  const noteMissing = (serverId: string): void => {
    if (!isSettling()) return remove(serverId, 'no longer listed')
    missingSinceOutage.add(serverId)
  }

  const settle = (): void => {
    if (isSettling()) return
    for (const serverId of missingSinceOutage) remove(serverId, 'not listed again after an outage of the store')
    missingSinceOutage.clear()
  }

  const takeEntry = (entry: ServerEntry): void => {
    const known = entries.get(entry.serverId)
    missingSinceOutage.delete(entry.serverId)
    entries.set(entry.serverId, entry)
    if (!known) events.emit(GatewayEvent.serverTaken, { peer: entry.serverId, service: entry.serviceName, detail: entry.address })
    if (!known?.isDraining && entry.isDraining) events.emit(GatewayEvent.serverLeft, { peer: entry.serverId, reason: 'listed as draining' })
    entryTaken(entry)
  }

  // Guards against an entry that another program wrote, or that was written over: what it names is not known, so requests
  // must not go there, also not by what the key named before. A server's next own entry brings it back.
  const refuseEntry = (fault: Fault, { key, offset }: FeedRecord): void => {
    missingSinceOutage.delete(key)
    remove(key, 'its entry cannot be read')
    if (refusedKeys.has(key) || refusedKeys.size >= MAX_REFUSED_KEYS) return
    refusedKeys.add(key)
    events.emit(GatewayEvent.recordRefused, { step: fault.step, peer: fault.peer, reason: fault.message, offset })
  }

  const takeRecord = (record: FeedRecord): void => {
    if (!record.value) {
      refusedKeys.delete(record.key)
      return noteMissing(record.key)
    }
    decodeServer(record.key, record.value).caseOf({
      Left: fault => { refuseEntry(fault, record) },
      Right: entry => {
        refusedKeys.delete(record.key)
        takeEntry(entry)
      }
    })
  }

  const view = (entry: ServerEntry): KnownServer => {
    const word = words.get(entry.address) ?? NO_WORD
    const namedId = word.state?.serverId ?? ''
    const speaksForIt = namedId === entry.serverId || namedId === ''
    const load = own.loadAt(entry.serverId)
    return {
      entry,
      state: speaksForIt ? word.state : undefined,
      load: speaksForIt ? word.load : undefined,
      isReplaced: !speaksForIt || replaced.has(entry.serverId) || (word.state?.goneServerIds.includes(entry.serverId) ?? false),
      stateAsOfMs: word.stateAsOfMs,
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

  return {
    takeRecords: records => {
      settle()
      for (const record of records) takeRecord(record)
      isKnown = true
    },
    takeKeys: keys => {
      for (const serverId of [...entries.keys()]) {
        if (!keys.has(serverId)) noteMissing(serverId)
      }
      isKnown = true
    },
    noteOutage: () => { isAway = true },
    noteRegained: () => {
      isAway = false
      regainedMs = timers.nowMs()
      timers.after(REAPPEAR_MS, settle)
    },
    takeState: (address, state) => {
      const word = words.get(address) ?? NO_WORD
      words.set(address, { ...word, state, stateAsOfMs: timers.nowMs() })
      prefixes.keepOnly(state.serverId, new Set(state.models.map(model => model.name)))
      for (const listener of [...stateListeners]) listener(address, state)
    },
    takeLoad: (address, load) => {
      const word = words.get(address) ?? NO_WORD
      words.set(address, { ...word, load })
    },
    loseAgent: address => { words.delete(address) },
    onState: listener => {
      stateListeners.add(listener)
      return () => { stateListeners.delete(listener) }
    },
    serving: serviceName => {
      settle()
      const servers: KnownServer[] = []
      for (const entry of entries.values()) {
        if (entry.serviceName !== serviceName) continue
        const server = view(entry)
        if (mayServe(server)) servers.push(server)
      }
      return servers
    },
    find: serverId => {
      const entry = entries.get(serverId)
      return entry && view(entry)
    },
    isDead: serverId => {
      const entry = entries.get(serverId)
      if (!entry) return false
      const server = view(entry)
      return server.isReplaced || server.state?.isUp === false
    },
    // An entry of a service that is not named yet is kept: a later configuration may name it.
    entries: () => [...entries.values()].filter(entry => isServiceNamed(entry.serviceName)),
    failureShareOf: server => failureShareAt(server.failures, timers.nowMs()),
    runningModels: address => {
      const names: string[] = []
      for (const [serverId, models] of own.runs()) {
        if (entries.get(serverId)?.address === address) names.push(...models.keys())
      }
      return names
    },
    own,
    noteOutcome: (serverId, hasFailed) => {
      const nowMs = timers.nowMs()
      failures.set(serverId, noteOutcome(failures.get(serverId) ?? noFailures(nowMs), hasFailed, nowMs))
    },
    noteReplaced: serverId => { replaced.add(serverId) },
    prefixes,
    isKnown: () => isKnown
  }
}
