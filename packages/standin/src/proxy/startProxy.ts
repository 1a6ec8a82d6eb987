import { connect, createServer } from 'node:net'
import { serveRpc } from '@figmount/base'
import * as z from 'zod'

import { handleControl } from '../control/handleControl.js'
import { StandinEvent } from '../events.js'
import { pumpBytes } from './pumpBytes.js'

import type { AddressInfo, Socket } from 'node:net'
import type { StartedStandin } from '../control/types.js'
import type { StandinContext } from '../settings/types.js'
import type { Pump } from './pumpBytes.js'
import type { ProxySettings } from './settings.js'
import type { Fault } from './types.js'

const fault = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('none') }),
  z.strictObject({ kind: z.literal('delay'), delayMs: z.number().min(0) }),
  z.strictObject({ kind: z.literal('drop') }),
  z.strictObject({ kind: z.literal('stall') }),
  z.strictObject({ kind: z.literal('bandwidth'), bytesPerSecond: z.number().positive() })
])

const command = z.discriminatedUnion('action', [
  z.strictObject({
    action: z.literal('fault'),
    fault,
    direction: z.enum(['up', 'down', 'both']).default('both'),
    /** Which connections: those open now, those opened from now on, or both. */
    scope: z.enum(['existing', 'new', 'all']).default('all')
  }),
  /** Resets the open connections. */
  z.strictObject({ action: z.literal('cut') }),
  z.strictObject({ action: z.literal('refuse'), on: z.boolean() }),
  z.strictObject({ action: z.literal('target'), target: z.string() })
])

interface Connection {
  readonly near: Socket
  readonly far: Socket
  readonly up: Pump
  readonly down: Pump
}

const splitAddress = (address: string): { readonly host: string, readonly port: number } => {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

/** Starts the proxy. Its address is the proxied one; the control surface's address follows in `detail` after a blank. */
export const startProxy = async (context: StandinContext<ProxySettings>): Promise<StartedStandin> => {
  const { settings, timers, events, metrics } = context
  const connections = new Set<Connection>()
  let target = settings.target
  let refuse = false
  let newUp: Fault = { kind: 'none' }
  let newDown: Fault = { kind: 'none' }
  let openedCount = 0

  const accept = (near: Socket): void => {
    near.on('error', () => {})
    if (refuse || target === '') {
      near.resetAndDestroy()
      return
    }
    const far = connect(splitAddress(target))
    far.on('error', () => { near.resetAndDestroy() })
    near.setNoDelay(true)
    far.setNoDelay(true)
    const connection = { near, far, up: pumpBytes(near, far, timers, newUp), down: pumpBytes(far, near, timers, newDown) }
    connections.add(connection)
    openedCount += 1
    events.emit(StandinEvent.connectionOpened, { peer: target, count: connections.size })
    near.on('close', () => {
      if (!connections.delete(connection)) return
      events.emit(StandinEvent.connectionClosed, { peer: target, count: connections.size })
      if (connection.up.fault().kind !== 'drop') far.destroySoon()
    })
  }

  const cut = (): void => {
    for (const { near, far } of connections) {
      near.resetAndDestroy()
      far.resetAndDestroy()
    }
  }

  const setFault = (asked: Extract<z.infer<typeof command>, { action: 'fault' }>): void => {
    const up = asked.direction !== 'down'
    const down = asked.direction !== 'up'
    if (asked.scope !== 'existing') {
      if (up) newUp = asked.fault
      if (down) newDown = asked.fault
    }
    if (asked.scope === 'new') return
    for (const connection of connections) {
      if (up) connection.up.setFault(asked.fault)
      if (down) connection.down.setFault(asked.fault)
    }
  }

  const run = (given: unknown): unknown => {
    const asked = command.parse(given)
    events.emit(StandinEvent.faultSet, { peer: target, detail: JSON.stringify(asked) })
    if (asked.action === 'fault') setFault(asked)
    if (asked.action === 'cut') cut()
    if (asked.action === 'refuse') refuse = asked.on
    if (asked.action === 'target') target = asked.target
    return { openCount: connections.size }
  }

  const dump = (): unknown => ({ target, refuse, openCount: connections.size, openedCount })
  const control = await serveRpc({
    host: context.host, port: settings.control_port, metrics, routes: () => {}, handlePlain: handleControl({ dump, run })
  })
  const server = createServer({ allowHalfOpen: false }, accept)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(context.port, context.host, resolve)
  })
  const { port } = server.address() as AddressInfo
  const stop = async (): Promise<void> => {
    server.close()
    for (const { near, far } of connections) {
      near.destroy()
      far.destroy()
    }
    await control.close()
  }
  return { address: `${context.host}:${port} ${control.address}`, stop }
}
