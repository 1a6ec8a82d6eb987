import { sleep } from '@figmount/base'
import { findAbsent, shouldPropose } from '@figmount/records'

import { RouterEvent } from '../events.js'
import { CHECK_PERIOD_MS, UNKNOWN_ADDRESS_MS } from './constants.js'
import { evictEngine } from './evictEngine.js'

import type { EventLog, InstanceName, LogOffset, ModelId, TimerService } from '@figmount/base'
import type { AgreedState, EngineReachability, RecordsClient } from '@figmount/records'
import type { AgentLinks } from '../links/createAgentLinks.js'
import type { Membership } from '../membership/createMembership.js'
import type { AbsentEngine, Eviction } from './types.js'

interface Options {
  readonly instance: InstanceName
  readonly records: RecordsClient
  readonly membership: Membership
  readonly links: AgentLinks
  /** Routers that take turns in making proposals. */
  readonly proposers: () => readonly InstanceName[]
  readonly openEngine: (address: string) => AbsentEngine
  readonly timers: TimerService
  readonly events: EventLog
  readonly signal: AbortSignal
}

/** Reachability of the engines of instances that are no longer on the platform's list. */
export interface AbsentEngines {
  /** `reachable`, which prevents a void, until a check has shown otherwise. */
  readonly reachOf: (instance: InstanceName) => EngineReachability
  readonly run: () => Promise<void>
}

const evictionOf = (state: AgreedState, instance: InstanceName): Eviction => ({
  instance,
  models: [...state.rights.values()].flatMap(({ status, holder, key }): readonly ModelId[] =>
    status !== 'free' && holder === instance && key.kind === 'replica' ? [key.target] : []),
  fence: state.nextOffset as LogOffset
})

/**
 * Periodically checks the engines of unlisted instances, which must be evicted before rights are voided. A void is a log record that frees
 * all rights of an instance, so that others can be granted them.
 */
export const watchAbsentEngines = (options: Options): AbsentEngines => {
  const { instance: own, records, membership, links, timers, events, signal } = options
  let reachByInstance: ReadonlyMap<InstanceName, EngineReachability> = new Map()

  const checkEngine = async (instance: InstanceName): Promise<EngineReachability> => {
    const state = records.state()
    // The agent itself is connected: it was dropped from the list by mistake or has not stopped yet.
    if (links.viewOf(instance)?.isOpen) return 'reachable'
    // A plain service holds no replicas, and its agent's keys right expires without a void.
    if (state.agents.get(instance)?.backendKind === 'plain') return 'unreachable'
    const address = membership.backendAddressOf(instance)
    if (!address) return membership.absentForMs(instance) >= UNKNOWN_ADDRESS_MS ? 'unreachable' : 'reachable'
    return await evictEngine(options.openEngine(address), evictionOf(state, instance))
  }

  const checkEngines = async (): Promise<void> => {
    const routers = options.proposers()
    const absent = findAbsent(records.state(), membership.absences()).filter(instance => shouldPropose(instance, routers, own, timers.unixMs()))
    const found = await Promise.all(absent.map(async instance => [instance, await checkEngine(instance)] as const))
    for (const [instance, reach] of found) {
      if (reachByInstance.get(instance) !== reach) events.emit(RouterEvent.absentEngineSeen, { peer: instance, reason: reach })
    }
    reachByInstance = new Map(found)
  }

  return {
    reachOf: instance => reachByInstance.get(instance) ?? 'reachable',
    run: async () => {
      while (!signal.aborted) {
        await checkEngines()
        await sleep(timers, CHECK_PERIOD_MS, signal)
      }
    }
  }
}
