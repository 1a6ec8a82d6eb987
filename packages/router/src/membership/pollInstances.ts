import { createClient } from '@connectrpc/connect'
import { EitherAsync } from 'purify-ts'
import { createTransport, faultFrom, sleep } from '@figmount/base'
import { InstanceList as InstanceListService, InstanceRole } from '@figmount/schema'

import { RouterEvent } from '../events.js'

import type { DataCentre, EventLog, Fault, InstanceName, TimerService } from '@figmount/base'
import type { Instance } from '@figmount/schema'
import type { InstanceList, ListedInstance } from './types.js'

/** Reads the platform's list once. */
export type ReadInstances = () => EitherAsync<Fault, readonly ListedInstance[]>

interface Options {
  readonly read: ReadInstances
  readonly timers: TimerService
  readonly events: EventLog
  readonly signal: AbortSignal
  readonly onRead: (list: InstanceList) => void
}

/** Interval between reads. The list itself lags by seconds, so a shorter interval gains nothing. */
const POLL_MS = 1_000
const READ_TIMEOUT_MS = 2_000

const ROLE_NAMES: Partial<Record<InstanceRole, ListedInstance['role']>> = {
  [InstanceRole.ROUTER]: 'router',
  [InstanceRole.AGENT]: 'agent'
}

const listedOf = (instance: Instance): readonly ListedInstance[] => {
  const role = ROLE_NAMES[instance.role]
  if (!role) return []
  return [{
    name: instance.name as InstanceName,
    role,
    dataCentre: instance.dataCentre as DataCentre,
    peerAddress: instance.peerAddress,
    backendAddress: instance.backendAddress,
    leaving: instance.leaving
  }]
}

/** Creates a function that reads the list from the platform by RPC. */
export const readPlatformList = (address: string): ReadInstances => {
  const client = createClient(InstanceListService, createTransport({ address }))
  return () => EitherAsync(async () => await client.list({}, { timeoutMs: READ_TIMEOUT_MS }))
    .mapLeft(faultFrom('membership.read', address))
    .map(({ instances }) => instances.flatMap(listedOf))
}

/** Polls the instance list until `signal` aborts. After a failed read the last list stays in use. */
export const pollInstances = async ({ read, timers, events, signal, onRead }: Options): Promise<void> => {
  let isReachable = true
  while (!signal.aborted) {
    const sentAtMs = timers.nowMs()
    const result = await read().run()
    result.ifRight(instances => {
      isReachable = true
      onRead({ instances: new Map(instances.map(entry => [entry.name, entry])), sentAtMs, answeredAtMs: timers.nowMs() })
    })
    result.ifLeft(fault => {
      if (isReachable) events.emit(RouterEvent.listUnreachable, { peer: fault.peer, step: fault.step, reason: fault.message })
      isReachable = false
    })
    await sleep(timers, POLL_MS, signal)
  }
}
