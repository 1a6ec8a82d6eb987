import { failureShareAt, noFailures, noteOutcome } from '@figmount/decisions'
import { REAPPEAR_MS } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'
import { createPrefixMemory } from './createPrefixMemory.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { FailureShare } from '@figmount/decisions'
import type { AgentLoad, AgentState, FeedRecord, ServerEntry, StorePort } from '@figmount/fleet'
import type { KnownServer } from './types.js'
import type { PrefixMemory } from './createPrefixMemory.js'

/** Own requests at a server. */
interface OwnLoad {
  readonly count: number
  readonly startingCount: number
  readonly pendingTokens: number
}

interface AgentWord {
  readonly state: AgentState | undefined
  readonly load: AgentLoad | undefined
  readonly asOfMs: number
}

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
  /** Servers of a service that may get new requests. */
  readonly serving: (serviceName: string) => readonly KnownServer[]
  readonly find: (serverId: string) => KnownServer | undefined
  /** The server has ended or was replaced, by its agent's word; one that is only unlisted may still finish what it runs. */
  readonly isDead: (serverId: string) => boolean
  readonly entries: () => readonly ServerEntry[]
  readonly failureShareOf: (server: KnownServer) => number
  /** Models of own requests that run at an address. */
  readonly runningModels: (address: string) => readonly string[]
  readonly noteRun: (serverId: string, modelName: string) => void
  readonly noteRunEnd: (serverId: string, modelName: string) => void
  readonly noteSent: (serverId: string, tokens: number) => void
  readonly noteFirstEvent: (serverId: string, tokens: number) => void
  readonly noteEnded: (serverId: string) => void
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
  readonly entryTaken: (entry: ServerEntry) => void
}

const NO_WORD: AgentWord = { state: undefined, load: undefined, asOfMs: -Infinity }
const NO_LOAD: OwnLoad = { count: 0, startingCount: 0, pendingTokens: 0 }

/** Makes the directory of one router. */
export const createDirectory = ({ timers, events, decodeServer, entryTaken }: Options): Directory => {
  const entries = new Map<string, ServerEntry>()
  const words = new Map<string, AgentWord>()
  const failures = new Map<string, FailureShare>()
  const own = new Map<string, OwnLoad>()
  const runs = new Map<string, Map<string, number>>()
  const replaced = new Set<string>()
  const prefixes = createPrefixMemory()
  const missingSinceOutage = new Set<string>()
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

  const takeRecord = (record: FeedRecord): void => {
    if (!record.value) return noteMissing(record.key)
    decodeServer(record.key, record.value).caseOf({
      Left: fault => { events.emit(GatewayEvent.recordRefused, { step: fault.step, peer: fault.peer, reason: fault.message, offset: record.offset }) },
      Right: takeEntry
    })
  }

  const view = (entry: ServerEntry): KnownServer => {
    const word = words.get(entry.address) ?? NO_WORD
    const namedId = word.state?.serverId ?? ''
    const speaksForIt = namedId === entry.serverId || namedId === ''
    const load = own.get(entry.serverId) ?? NO_LOAD
    return {
      entry,
      state: speaksForIt ? word.state : undefined,
      load: speaksForIt ? word.load : undefined,
      isReplaced: !speaksForIt || replaced.has(entry.serverId) || (word.state?.goneServerIds.includes(entry.serverId) ?? false),
      stateAsOfMs: word.asOfMs,
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

  const changeRuns = (serverId: string, modelName: string, by: number): void => {
    const models = runs.get(serverId) ?? new Map<string, number>()
    const count = (models.get(modelName) ?? 0) + by
    if (count > 0) models.set(modelName, count)
    else models.delete(modelName)
    if (models.size > 0) runs.set(serverId, models)
    else runs.delete(serverId)
  }

  const updateOwn = (serverId: string, change: (load: OwnLoad) => OwnLoad): void => {
    const load = change(own.get(serverId) ?? NO_LOAD)
    if (load.count <= 0) own.delete(serverId)
    else own.set(serverId, load)
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
      words.set(address, { ...word, state, asOfMs: timers.nowMs() })
      prefixes.keepOnly(state.serverId, new Set(state.models.map(model => model.name)))
    },
    takeLoad: (address, load) => {
      const word = words.get(address) ?? NO_WORD
      words.set(address, { ...word, load, asOfMs: timers.nowMs() })
    },
    loseAgent: address => { words.delete(address) },
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
    entries: () => [...entries.values()],
    failureShareOf: server => failureShareAt(server.failures, timers.nowMs()),
    runningModels: address => {
      const names: string[] = []
      for (const [serverId, models] of runs) {
        if (entries.get(serverId)?.address === address) names.push(...models.keys())
      }
      return names
    },
    noteRun: (serverId, modelName) => { changeRuns(serverId, modelName, 1) },
    noteRunEnd: (serverId, modelName) => { changeRuns(serverId, modelName, -1) },
    noteSent: (serverId, tokens) => {
      updateOwn(serverId, load => ({ count: load.count + 1, startingCount: load.startingCount + 1, pendingTokens: load.pendingTokens + tokens }))
    },
    noteFirstEvent: (serverId, tokens) => {
      updateOwn(serverId, load => ({ ...load, startingCount: load.startingCount - 1, pendingTokens: Math.max(0, load.pendingTokens - tokens) }))
    },
    noteEnded: serverId => { updateOwn(serverId, load => ({ ...load, count: load.count - 1 })) },
    noteOutcome: (serverId, hasFailed) => {
      const nowMs = timers.nowMs()
      failures.set(serverId, noteOutcome(failures.get(serverId) ?? noFailures(nowMs), hasFailed, nowMs))
    },
    noteReplaced: serverId => { replaced.add(serverId) },
    prefixes,
    isKnown: () => isKnown
  }
}
