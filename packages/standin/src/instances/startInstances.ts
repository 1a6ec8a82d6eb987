import { serveRpc } from '@figmount/base'
import { InstanceList, InstanceRole } from '@figmount/schema'
import * as z from 'zod'

import { createFaultInjector, faultCommand } from '../control/createFaultInjector.js'
import { handleControl } from '../control/handleControl.js'
import { StandinEvent } from '../events.js'
import { markLeaving, parseInstances, pruneVersions, removeInstance, setInstance, visibleList } from './listState.js'

import type { StartedStandin } from '../control/types.js'
import type { StandinContext } from '../settings/types.js'
import type { InstancesSettings } from './settings.js'
import type { ListedInstance, ListVersion } from './types.js'

const instanceSchema = z.strictObject({
  name: z.string().min(1),
  role: z.enum(['router', 'agent']),
  dataCentre: z.string(),
  peerAddress: z.string(),
  backendAddress: z.string().default(''),
  leaving: z.boolean().default(false)
})

const commandSchema = z.discriminatedUnion('action', [
  ...faultCommand.options,
  z.strictObject({ action: z.literal('set'), instance: instanceSchema }),
  z.strictObject({ action: z.literal('remove'), name: z.string() }),
  z.strictObject({ action: z.literal('leaving'), name: z.string() }),
  z.strictObject({ action: z.literal('lag'), lagMs: z.number().min(0) })
])

const toMessage = (listed: ListedInstance): object => ({
  ...listed,
  role: listed.role === 'router' ? InstanceRole.ROUTER : InstanceRole.AGENT
})

/** Starts the stand-in for the platform's list of instances. */
export const startInstances = async (context: StandinContext<InstancesSettings>): Promise<StartedStandin> => {
  const { settings, timers, events, metrics } = context
  const faultInjector = createFaultInjector(timers)
  let lagMs = settings.lag_ms
  let versions: readonly ListVersion[] = [{ atMs: -Infinity, instances: parseInstances(settings.instances) }]

  const latestInstances = (): readonly ListedInstance[] => versions.at(-1)?.instances ?? []

  const setInstances = (instances: readonly ListedInstance[]): void => {
    const nowMs = timers.nowMs()
    versions = pruneVersions([...versions, { atMs: nowMs, instances }], lagMs, nowMs)
    events.emit(StandinEvent.listChanged, { count: instances.length, detail: instances.map(listed => listed.name).join(' ') })
  }

  const run = (input: unknown): unknown => {
    const command = commandSchema.parse(input)
    events.emit(StandinEvent.controlChanged, { detail: JSON.stringify(command) })
    if (command.action === 'set') setInstances(setInstance(latestInstances(), command.instance))
    else if (command.action === 'remove') setInstances(removeInstance(latestInstances(), command.name))
    else if (command.action === 'leaving') setInstances(markLeaving(latestInstances(), command.name))
    else if (command.action === 'lag') lagMs = command.lagMs
    else faultInjector.run(command)
    return { instances: latestInstances() }
  }

  const list = async (): Promise<{ instances: object[] }> => {
    await faultInjector.applyFaults()
    return { instances: visibleList(versions, lagMs, timers.nowMs()).map(toMessage) }
  }

  const server = await serveRpc({
    context,
    host: context.host,
    port: context.port,
    metrics,
    routes: router => { router.service(InstanceList, { list }) },
    handlePlain: handleControl({ dump: () => ({ gate: faultInjector.state(), lagMs, instances: latestInstances() }), run })
  })
  return { address: server.address, stop: server.close }
}
