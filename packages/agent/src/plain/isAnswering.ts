import { request as httpRequest } from 'node:http'

import { CONNECT_TIMEOUT_MS } from './constants.js'

import type { IncomingMessage } from 'node:http'
import type { TimerService } from '@figmount/base'

/** Statuses by which a proxy says that it cannot reach the service. */
const PROXY_FAILURES: ReadonlySet<number | undefined> = new Set([502, 503, 504])

/**
 * Whether the service's process answers on a new connection. `OPTIONS *` is HTTP's request without effect, and any
 * answer counts: the system accepts connections for a dying process, but sends no answers for it.
 */
export const isAnswering = async (address: string, timers: TimerService, signal: AbortSignal): Promise<boolean> => await new Promise(resolve => {
  const [host = '', port = ''] = address.split(':')
  const request = httpRequest({ host, port: Number(port), method: 'OPTIONS', path: '*', agent: false, signal })
  const end = (answers: boolean): void => {
    cancel()
    request.destroy()
    resolve(answers)
  }
  const cancel = timers.after(CONNECT_TIMEOUT_MS, () => end(false))
  request.once('response', ({ statusCode }: IncomingMessage) => end(!PROXY_FAILURES.has(statusCode)))
  request.on('error', () => end(false))
  request.end()
})
