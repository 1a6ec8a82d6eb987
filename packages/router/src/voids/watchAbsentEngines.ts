import { sleep } from '@figmount/base'
import { findAbsent, shouldPropose } from '@figmount/records'

import { RouterEvent } from '../events.js'
import { LOOK_MS, UNKNOWN_ADDRESS_MS } from './constants.js'
import { evictEngine } from './evictEngine.js'

import type { EventLog, InstanceName, LogOffset, ModelId, TimerService } from '@figmount/base'
import type { AgreedState, EngineReach, RecordsClient } from '@figmount/records'
import type { AgentLinks } from '../links/createAgentLinks.js'
import type { Membership } from '../membership/createMembership.js'
import type { AbsentEngine, Eviction } from './types.js'

interface Options {
  readonly instance: InstanceName
  readonly records: RecordsClient
  readonly membership: Membership
  readonly links: AgentLinks
  /** Routers among which the turn to propose is drawn. */
  readonly proposers: () => readonly InstanceName[]
  readonly openEngine: (address: string) => AbsentEngine
  readonly timers: TimerService
  readonly events: EventLog
  readonly signal: AbortSignal
}

/** What is known of the engines of instances that are off the list. */
export interface AbsentEngines {
  /** `reachable`, which forbids a void, until a look has shown otherwise. */
  readonly reachOf: (instance: InstanceName) => EngineReach
  readonly run: () => Promise<void>
}

const evictionOf = (state: AgreedState, instance: InstanceName): Eviction => ({
  instance,
  models: [...state.rights.values()].flatMap(({ status, holder, key }): readonly ModelId[] =>
    status !== 'free' && holder === instance && key.kind === 'replica' ? [key.target] : []),
  fence: state.nextOffset as LogOffset
})

/** Looks after the engines of instances that are off the list, before rights are voided. */
export const watchAbsentEngines = (options: Options): AbsentEngines => {
  const { instance: own, records, membership, links, timers, events, signal } = options
  let reaches: ReadonlyMap<InstanceName, EngineReach> = new Map()

  const lookAt = async (instance: InstanceName): Promise<EngineReach> => {
    const state = records.state()
    // The agent itself answers: it is off the list by mistake, or not yet gone.
    if (links.viewOf(instance)?.isOpen) return 'reachable'
    // A plain service holds no replica, and its agent's authority over keys ends by itself.
    if (state.agents.get(instance)?.backendKind === 'plain') return 'unreachable'
    const address = membership.backendAddressOf(instance)
    if (!address) return membership.absentForMs(instance) >= UNKNOWN_ADDRESS_MS ? 'unreachable' : 'reachable'
    return await evictEngine(options.openEngine(address), evictionOf(state, instance))
  }

  const lookAtAll = async (): Promise<void> => {
    const routers = options.proposers()
    const absent = findAbsent(records.state(), membership.absences()).filter(instance => shouldPropose(instance, routers, own, timers.unixMs()))
    const found = await Promise.all(absent.map(async instance => [instance, await lookAt(instance)] as const))
    for (const [instance, reach] of found) {
      if (reaches.get(instance) !== reach) events.emit(RouterEvent.absentEngineSeen, { peer: instance, reason: reach })
    }
    reaches = new Map(found)
  }

  return {
    reachOf: instance => reaches.get(instance) ?? 'reachable',
    run: async () => {
      while (!signal.aborted) {
        await lookAtAll()
        await sleep(timers, LOOK_MS, signal)
      }
    }
  }
}
