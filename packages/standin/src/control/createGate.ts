import { Code, ConnectError } from '@connectrpc/connect'
import { sleep } from '@figmount/base'
import * as z from 'zod'

import type { TimerService } from '@figmount/base'

/** Commands that every RPC stand-in understands. */
export const gateCommand = z.discriminatedUnion('action', [
  z.strictObject({ action: z.literal('outage'), on: z.boolean() }),
  z.strictObject({ action: z.literal('slow'), delayMs: z.number().min(0) }),
  z.strictObject({ action: z.literal('pause'), on: z.boolean() })
])

export type GateCommand = z.infer<typeof gateCommand>

/** What every call of a stand-in passes first. */
export interface Gate {
  /** Waits as told; throws UNAVAILABLE during an outage. */
  readonly pass: () => Promise<void>
  readonly run: (command: GateCommand) => void
  readonly state: () => { readonly outage: boolean, readonly delayMs: number, readonly paused: boolean }
}

/** Makes the gate of one stand-in. */
export const createGate = (timers: TimerService): Gate => {
  let outage = false
  let delayMs = 0
  let paused = false
  const held = new Set<() => void>()

  const release = (): void => {
    const waiting = [...held]
    held.clear()
    for (const go of waiting) go()
  }

  const waitWhilePaused = async (): Promise<void> => {
    if (!paused) return
    await new Promise<void>(resolve => { held.add(resolve) })
    await waitWhilePaused()
  }

  return {
    pass: async () => {
      if (delayMs > 0) await sleep(timers, delayMs)
      await waitWhilePaused()
      if (outage) throw new ConnectError('outage', Code.Unavailable)
    },
    run: command => {
      if (command.action === 'outage') outage = command.on
      if (command.action === 'slow') delayMs = command.delayMs
      if (command.action === 'pause') paused = command.on
      release()
    },
    state: () => ({ outage, delayMs, paused })
  }
}
