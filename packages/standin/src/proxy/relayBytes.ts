import { sleep, wasReset } from '@figmount/base'

import type { Socket } from 'node:net'
import type { TimerService } from '@figmount/base'
import type { Fault } from './types.js'

/** One direction of a proxied connection, with the fault that is applied to it. */
export interface Relay {
  readonly setFault: (fault: Fault) => void
  readonly fault: () => Fault
}

/**
 * Relays bytes from one socket to the other in order, subject to the fault that is currently set.
 *
 * Guards against a link that makes up an orderly close: `to` is closed in order only if `from` was, and all of its bytes were passed on. A
 * connection that has lost bytes to a drop fault carries nothing after them, as on a real link, and is reset once the fault is over.
 */
export const relayBytes = (from: Socket, to: Socket, timers: TimerService, initialFault: Fault): Relay => {
  let fault = initialFault
  let resume = (): void => {}
  let hasLost = false
  let isBroken = false
  from.prependListener('end', () => { isBroken = wasReset(from) })

  const waitWhileStalled = async (): Promise<void> => {
    while (fault.kind === 'stall') await new Promise<void>(resolve => { resume = resolve })
  }

  const write = async (chunk: Buffer): Promise<void> => {
    if (to.write(chunk)) return
    await new Promise<void>(resolve => {
      to.once('drain', resolve)
      to.once('close', resolve)
    })
  }

  const lose = (): void => { hasLost = true }

  const relayChunk = async (chunk: Buffer): Promise<void> => {
    await waitWhileStalled()
    if (fault.kind === 'drop') return lose()
    if (fault.kind === 'delay') await sleep(timers, fault.delayMs)
    if (fault.kind === 'bandwidth') await sleep(timers, chunk.length * 1000 / fault.bytesPerSecond)
    await waitWhileStalled()
    // The fault may have changed while this chunk waited.
    if ((fault as Fault).kind === 'drop') return lose()
    if (hasLost) to.resetAndDestroy()
    if (!to.destroyed) await write(chunk)
  }

  const run = async (): Promise<void> => {
    try {
      for await (const chunk of from) await relayChunk(chunk as Buffer)
    } catch {
      isBroken = true
    }
    await waitWhileStalled()
    // Under a drop fault, the close of one side is not passed on to the other side either.
    if ((fault as Fault).kind === 'drop') return
    hasLost || isBroken ? to.resetAndDestroy() : to.destroySoon()
  }
  run()

  return {
    setFault: next => {
      fault = next
      resume()
    },
    fault: () => fault
  }
}
