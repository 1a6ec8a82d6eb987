import { match } from 'ts-pattern'

import type { EventRecord } from '@figmount/base'

const ms = (value: number | undefined): string => `${value ?? '?'} ms`

/** How a request ended, in a sentence, by the last of its own lines; `lastPeer` is the server that it was sent to last. */
export const conclude = (last: EventRecord | undefined, lastPeer: string): string => {
  if (!last) return 'no line names it: it reached no router whole, or its lines were left out'
  const sent = lastPeer === '' ? 'it had not been sent to a server' : `it had been sent to ${lastPeer}`
  return match(last.name)
    .with('requestAnswered', () => `answered with ${last.statusCode ?? '?'} by ${last.peer ?? '?'} after ${ms(last.durationMs)}`)
    .with('requestRefused', () => `refused after ${ms(last.waitMs)}, not run: ${last.reason ?? '?'}; it may come back after ${ms(last.retryAfterMs)}`)
    .with('requestFailed', () => `ended without a whole answer after ${ms(last.waitMs)} and may have run at ${last.peer ?? '?'}: ${last.reason ?? '?'}`)
    .with('keyUnknown', () => `refused with 401, not run: ${last.reason ?? '?'}, by the configuration that the router had then`)
    .with('requestLimited', () =>
      `refused with 429, not run: ${last.organisation ?? 'its organisation'} was beyond its limit; it may come back after ${ms(last.retryAfterMs)}`)
    .with('requestLeft', () => `its caller left after ${ms(last.waitMs)}; ${sent}`)
    .otherwise(name => `no end is on record; ${name} is the last line and ${sent}`)
}
