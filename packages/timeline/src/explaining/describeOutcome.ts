import { match } from 'ts-pattern'

import type { EventRecord } from '@figmount/base'

const formatMs = (value: number | undefined): string => `${value ?? '?'} ms`

/** Describes in one sentence how a request ended, from its last event. `lastPeer` is the server that it was last sent to. */
export const describeOutcome = (last: EventRecord | undefined, lastPeer: string): string => {
  if (!last) return 'no event names it: no router received it completely, or its events are not in the input'
  const sent = lastPeer === '' ? 'it had not been sent to a server' : `it had been sent to ${lastPeer}`
  return match(last.name)
    .with('requestAnswered', () => `answered with ${last.statusCode ?? '?'} by ${last.peer ?? '?'} after ${formatMs(last.durationMs)}`)
    .with('requestRefused', () => `refused after ${formatMs(last.waitMs)}, not run: ${last.reason ?? '?'}; it may be retried after ${formatMs(last.retryAfterMs)}`)
    .with('requestFailed', () => `ended without a complete answer after ${formatMs(last.waitMs)} and may have run at ${last.peer ?? '?'}: ${last.reason ?? '?'}`)
    .with('keyUnknown', () => `refused with 401, not run: ${last.reason ?? '?'}, according to the router's configuration at that time`)
    .with('requestLimited', () =>
      `refused with 429, not run: ${last.organisation ?? 'its organisation'} had exceeded its limit; it may be retried after ${formatMs(last.retryAfterMs)}`)
    .with('requestLeft', () => `its caller disconnected after ${formatMs(last.waitMs)}; ${sent}`)
    .otherwise(name => `no end is recorded; ${name} is its last event and ${sent}`)
}
