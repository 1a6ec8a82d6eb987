import { sleep } from '@figmount/base'
import { CloseVerdict, judgeClose } from '@figmount/decisions'

import { PROBE_PAUSE_MS } from '../crashes/constants.js'
import { GatewayEvent } from '../events.js'
import { BytesEnd, EndProof } from '../forwarding/framing.js'

import type { ProbeResult } from '@figmount/decisions'
import type { KnownServer } from '../directory/types.js'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'

/** An answer whose bytes have ended. */
interface EndedAnswer {
  readonly server: KnownServer
  readonly end: BytesEnd
  /** The request may run on another server if this answer does not count as complete. */
  readonly mayRunElsewhere: boolean
  /** Aborts when the exchange must end. */
  readonly signal: AbortSignal
}

/** Time that the caller can wait for the proof: half of what it has if another run may have to follow. */
const maxWaitMs = ({ timers }: GatewayContext, { route, untilMs }: RoutedRequest, mayRunElsewhere: boolean): number => {
  const leftMs = Math.min(route.patienceMs, untilMs - timers.nowMs())
  return mayRunElsewhere ? leftMs / 2 : leftMs
}

/**
 * Waits for what shows that an answer is complete; undefined if nothing does in time.
 *
 * Guards against the answer of a server that was killed: the system closes its connections in order, which looks like the end of an
 * answer without a length or chunks.
 */
export const awaitProof = async (
  context: GatewayContext, request: RoutedRequest, { server, end, mayRunElsewhere, signal }: EndedAnswer
): Promise<EndProof | undefined> => {
  if (end === BytesEnd.BrokenOff) return undefined
  if (end === BytesEnd.Marked) return EndProof.Framing
  const { timers, directory, lifeChecks, events, metrics } = context
  const closedMs = timers.nowMs()
  const maxAgeMs = maxWaitMs(context, request, mayRunElsewhere)
  const judged = new AbortController()
  const over = sleep(timers, maxAgeMs, AbortSignal.any([signal, judged.signal])).then(() => undefined)
  let probe: ProbeResult | undefined

  const judge = (): CloseVerdict =>
    signal.aborted ? CloseVerdict.BrokenOff : judgeClose({ probe, isDead: directory.isDead(server.start), ageMs: timers.nowMs() - closedMs, maxAgeMs })

  let verdict = judge()
  while (verdict === CloseVerdict.Open) {
    probe = await Promise.race([lifeChecks.check(server), over]) ?? probe
    verdict = judge()
    if (verdict === CloseVerdict.Open) await sleep(timers, PROBE_PAUSE_MS, signal)
  }
  judged.abort()
  metrics.count(verdict === CloseVerdict.Whole ? 'ends_proven_total' : 'ends_not_proven_total')
  events.emit(GatewayEvent.closeJudged, {
    requestKey: request.caller.requestId,
    peer: server.entry.serverId,
    reason: verdict,
    detail: probe ?? 'not checked',
    ageMs: Math.round(timers.nowMs() - closedMs),
    waitMs: Math.round(maxAgeMs)
  })
  return verdict === CloseVerdict.Whole ? EndProof.HealthCheck : undefined
}
