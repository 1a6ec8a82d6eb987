import { connect, createServer } from 'node:net'
import { serveRpc } from '@figmount/base'
import * as z from 'zod'

import { handleControl } from '../control/handleControl.js'
import { StandinEvent } from '../events.js'
import { relayBytes } from './relayBytes.js'

import type { AddressInfo, Socket } from 'node:net'
import type { StartedStandin } from '../control/types.js'
import type { StandinContext } from '../settings/types.js'
import type { Relay } from './relayBytes.js'
import type { ProxySettings } from './settings.js'
import type { Fault } from './types.js'

const faultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('none') }),
  z.strictObject({ kind: z.literal('delay'), delayMs: z.number().min(0) }),
  z.strictObject({ kind: z.literal('drop') }),
  z.strictObject({ kind: z.literal('stall') }),
  z.strictObject({ kind: z.literal('bandwidth'), bytesPerSecond: z.number().positive() })
])

const commandSchema = z.discriminatedUnion('action', [
  z.strictObject({
    action: z.literal('fault'),
    fault: faultSchema,
    direction: z.enum(['up', 'down', 'both']).default('both'),
    /** Which connections the fault applies to: those open now, those opened from now on, or both. */
    scope: z.enum(['existing', 'new', 'all']).default('all')
  }),
  /** Resets all open connections. */
  z.strictObject({ action: z.literal('cut') }),
  z.strictObject({ action: z.literal('refuse'), on: z.boolean() }),
  z.strictObject({ action: z.literal('target'), target: z.string() })
])

interface Connection {
  readonly inbound: Socket
  readonly outbound: Socket
  readonly up: Relay
  readonly down: Relay
}

const splitAddress = (address: string): { readonly host: string, readonly port: number } => {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

/** Starts the proxy. The returned `address` holds the proxied address and the address of the control API, separated by a space. */
export const startProxy = async (context: StandinContext<ProxySettings>): Promise<StartedStandin> => {
  const { settings, timers, events, metrics } = context
  const connections = new Set<Connection>()
  let target = settings.target
  let isRefusing = false
  let newUpFault: Fault = { kind: 'none' }
  let newDownFault: Fault = { kind: 'none' }
  let openedCount = 0

  const accept = (inbound: Socket): void => {
    inbound.on('error', () => {})
    if (isRefusing || target === '') {
      inbound.resetAndDestroy()
      return
    }
    const outbound = connect(splitAddress(target))
    outbound.on('error', () => { inbound.resetAndDestroy() })
    inbound.setNoDelay(true)
    outbound.setNoDelay(true)
    const connection = { inbound, outbound, up: relayBytes(inbound, outbound, timers, newUpFault), down: relayBytes(outbound, inbound, timers, newDownFault) }
    connections.add(connection)
    openedCount += 1
    events.emit(StandinEvent.connectionOpened, { peer: target, count: connections.size })
    inbound.on('close', () => {
      if (!connections.delete(connection)) return
      events.emit(StandinEvent.connectionClosed, { peer: target, count: connections.size })
      if (connection.up.fault().kind !== 'drop') outbound.destroySoon()
    })
  }

  const cut = (): void => {
    for (const { inbound, outbound } of connections) {
      inbound.resetAndDestroy()
      outbound.resetAndDestroy()
    }
  }

  const setFault = (command: Extract<z.infer<typeof commandSchema>, { action: 'fault' }>): void => {
    const affectsUp = command.direction !== 'down'
    const affectsDown = command.direction !== 'up'
    if (command.scope !== 'existing') {
      if (affectsUp) newUpFault = command.fault
      if (affectsDown) newDownFault = command.fault
    }
    if (command.scope === 'new') return
    for (const connection of connections) {
      if (affectsUp) connection.up.setFault(command.fault)
      if (affectsDown) connection.down.setFault(command.fault)
    }
  }

  const run = (input: unknown): unknown => {
    const command = commandSchema.parse(input)
    events.emit(StandinEvent.faultSet, { peer: target, detail: JSON.stringify(command) })
    if (command.action === 'fault') setFault(command)
    if (command.action === 'cut') cut()
    if (command.action === 'refuse') isRefusing = command.on
    if (command.action === 'target') target = command.target
    return { openCount: connections.size }
  }

  const dump = (): unknown => ({ target, refuse: isRefusing, openCount: connections.size, openedCount })
  const control = await serveRpc({
    context, host: context.host, port: settings.control_port, metrics, routes: () => {}, handlePlain: handleControl({ dump, run })
  })
  const server = createServer({ allowHalfOpen: false }, accept)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(context.port, context.host, resolve)
  })
  const { port } = server.address() as AddressInfo
  const stop = async (): Promise<void> => {
    server.close()
    for (const { inbound, outbound } of connections) {
      inbound.destroy()
      outbound.destroy()
    }
    await control.close()
  }
  return { address: `${context.host}:${port} ${control.address}`, stop }
}
