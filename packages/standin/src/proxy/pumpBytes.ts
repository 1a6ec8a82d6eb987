import { sleep } from '@figmount/base'

import type { Socket } from 'node:net'
import type { TimerService } from '@figmount/base'
import type { Fault } from './types.js'

/** One direction of a proxied connection. */
export interface Pump {
  readonly setFault: (fault: Fault) => void
  readonly fault: () => Fault
}

/** Passes bytes from one socket to the other, in order, under the fault of the moment. */
export const pumpBytes = (from: Socket, to: Socket, timers: TimerService, first: Fault): Pump => {
  let fault = first
  let wake = (): void => {}

  const waitWhileStalled = async (): Promise<void> => {
    while (fault.kind === 'stall') await new Promise<void>(resolve => { wake = resolve })
  }

  const write = async (chunk: Buffer): Promise<void> => {
    if (to.write(chunk)) return
    await new Promise<void>(resolve => {
      to.once('drain', resolve)
      to.once('close', resolve)
    })
  }

  const pass = async (chunk: Buffer): Promise<void> => {
    await waitWhileStalled()
    if (fault.kind === 'drop') return
    if (fault.kind === 'delay') await sleep(timers, fault.delayMs)
    if (fault.kind === 'bandwidth') await sleep(timers, chunk.length * 1000 / fault.bytesPerSecond)
    await waitWhileStalled()
    // A fault may have come while this chunk waited.
    if ((fault as Fault).kind === 'drop' || to.destroyed) return
    await write(chunk)
  }

  const run = async (): Promise<void> => {
    try {
      for await (const chunk of from) await pass(chunk as Buffer)
    } catch {
      // The reset of one side is passed on below.
    }
    await waitWhileStalled()
    // The end of a connection that has gone silent is not heard on the other side either.
    if ((fault as Fault).kind === 'drop') return
    to.destroySoon()
  }
  run()

  return {
    setFault: next => {
      fault = next
      wake()
    },
    fault: () => fault
  }
}
