import { BaseEvent } from '../events/catalogue.js'
import { sleep } from '../timers/sleep.js'

import type { Server } from 'node:net'
import type { EventLog } from '../events/types.js'
import type { TimerService } from '../timers/types.js'

/** Time between two attempts to listen on an address that is held. */
const RETRY_MS = 250

/** What a wait for an address needs of the process. */
export interface ListenContext {
  readonly timers: TimerService
  readonly events: EventLog
  /** Ends the wait. */
  readonly stopSignal?: AbortSignal
}

const listenOnce = async (server: Server, host: string, port: number): Promise<void> => {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port }, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

/**
 * Listens on `host:port`, and waits while another process holds it: the earlier start of the same process may still drain. Rejects for an
 * address that can't become free, and when the wait is ended. Later errors of the server, as when no file descriptor is left for another
 * connection, are events.
 */
export const listenWhenFree = async (server: Server, address: string, { timers, events, stopSignal }: ListenContext): Promise<void> => {
  const [host = '', port = ''] = address.split(':')
  for (let attempt = 0; ; attempt++) {
    try {
      await listenOnce(server, host, Number(port))
      if (attempt > 0) events.emit(BaseEvent.addressTaken, { detail: address })
      server.on('error', error => { events.emit(BaseEvent.unexpectedFault, { step: 'listen', detail: address, reason: error.message }) })
      return
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE' || stopSignal?.aborted) throw error
      if (attempt === 0) events.emit(BaseEvent.addressAwaited, { detail: address, reason: (error as Error).message })
      await sleep(timers, RETRY_MS, stopSignal)
      if (stopSignal?.aborted) throw error
    }
  }
}
