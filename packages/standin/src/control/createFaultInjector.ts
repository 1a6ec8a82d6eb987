import { Code, ConnectError } from '@connectrpc/connect'
import { sleep } from '@figmount/base'
import * as z from 'zod'

import type { TimerService } from '@figmount/base'

/** Fault commands that every RPC stand-in accepts. */
export const faultCommand = z.discriminatedUnion('action', [
  z.strictObject({ action: z.literal('outage'), on: z.boolean() }),
  z.strictObject({ action: z.literal('slow'), delayMs: z.number().min(0) }),
  z.strictObject({ action: z.literal('pause'), on: z.boolean() })
])

export type FaultCommand = z.infer<typeof faultCommand>

/** Delays, pauses or fails the RPC calls of one stand-in. */
export interface FaultInjector {
  /** Called first in every RPC: waits for the set delay and while paused; throws UNAVAILABLE during an outage. */
  readonly applyFaults: () => Promise<void>
  readonly run: (command: FaultCommand) => void
  readonly state: () => { readonly outage: boolean, readonly delayMs: number, readonly paused: boolean }
}

/** Creates a fault injector without any fault set. */
export const createFaultInjector = (timers: TimerService): FaultInjector => {
  let hasOutage = false
  let delayMs = 0
  let isPaused = false
  const pausedCalls = new Set<() => void>()

  const resumeCalls = (): void => {
    const calls = [...pausedCalls]
    pausedCalls.clear()
    for (const resume of calls) resume()
  }

  const waitWhilePaused = async (): Promise<void> => {
    if (!isPaused) return
    await new Promise<void>(resolve => { pausedCalls.add(resolve) })
    await waitWhilePaused()
  }

  return {
    applyFaults: async () => {
      if (delayMs > 0) await sleep(timers, delayMs)
      await waitWhilePaused()
      if (hasOutage) throw new ConnectError('outage', Code.Unavailable)
    },
    run: command => {
      if (command.action === 'outage') hasOutage = command.on
      if (command.action === 'slow') delayMs = command.delayMs
      if (command.action === 'pause') isPaused = command.on
      resumeCalls()
    },
    state: () => ({ outage: hasOutage, delayMs, paused: isPaused })
  }
}
