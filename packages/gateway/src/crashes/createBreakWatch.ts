import { BaseEvent, sleep } from '@figmount/base'
import { BreakVerdict, judgeBreak } from '@figmount/decisions'
import { startKeyOf } from '@figmount/fleet'

import { DEAD_RETENTION_MS, DEATH_CHECK_PERIOD_MS, PROBE_PAUSE_MS, VERDICT_WAIT_MS } from './constants.js'
import { noteCrash } from './noteCrash.js'

import type { ProbeResult } from '@figmount/decisions'
import type { RequestIdentity, ServerEntry, ServerStart } from '@figmount/fleet'
import type { Directory, KnownServer } from '../directory/types.js'
import type { RoutedRequest } from '../requests/types.js'
import type { CrashContext } from './noteCrash.js'

interface Options extends CrashContext {
  readonly directory: Directory
  readonly probe: (entry: ServerEntry) => Promise<ProbeResult>
}

/** The requests whose runs a server has broken off. */
interface BrokenServer {
  readonly requests: Set<RoutedRequest>
  readonly settled: Promise<void>
}

/** Finds out whether servers that broke off runs have died, where no agent reports on them. */
export interface BreakWatch {
  /** The server has broken off a run before, and has died or may have: what is sent to it now is not the cause. */
  readonly isBroken: (start: ServerStart) => boolean
  /** Counts the broken run as a crash if its server has died. Resolves when that is known, or a short while later. */
  readonly watch: (request: RoutedRequest, server: KnownServer) => Promise<void>
  /** The request was answered since: its broken runs show nothing. */
  readonly forget: (identity: RequestIdentity) => void
}

/** Creates the watch of one router. All runs that break off at one start of a server share its health checks and their verdict. */
export const createBreakWatch = ({ directory, probe, ...context }: Options): BreakWatch => {
  const { timers, events } = context
  const broken = new Map<string, BrokenServer>()
  // Times of the servers' deaths by start, in order.
  const diedMs = new Map<string, number>()

  const judge = ({ start, entry }: KnownServer, brokenMs: number, result: ProbeResult | undefined): BreakVerdict => judgeBreak({
    probe: result,
    hasLeftInOrder: directory.hasExitedGracefully(start, brokenMs),
    isReplaced: directory.isDead(start),
    isUnlisted: directory.find(entry.serverId) === undefined,
    ageMs: timers.nowMs() - brokenMs
  })

  const awaitVerdict = async (server: KnownServer, brokenMs: number): Promise<{ readonly verdict: BreakVerdict, readonly evidence: string }> => {
    let result: ProbeResult | undefined
    let nextProbeMs = brokenMs
    for (;;) {
      if (timers.nowMs() >= nextProbeMs) {
        result = await probe(server.entry)
        nextProbeMs = timers.nowMs() + PROBE_PAUSE_MS
      }
      const verdict = judge(server, brokenMs, result)
      if (verdict !== BreakVerdict.Open) return { verdict, evidence: result ?? '' }
      await sleep(timers, DEATH_CHECK_PERIOD_MS)
    }
  }

  const noteDead = (startKey: string): void => {
    diedMs.set(startKey, timers.nowMs())
    for (const [key, atMs] of diedMs) {
      if (timers.nowMs() - atMs < DEAD_RETENTION_MS) return
      diedMs.delete(key)
    }
  }

  const settle = async (startKey: string, server: KnownServer, brokenMs: number, requests: ReadonlySet<RoutedRequest>): Promise<void> => {
    const { verdict, evidence } = await awaitVerdict(server, brokenMs)
    broken.delete(startKey)
    if (verdict !== BreakVerdict.Crash) return
    noteDead(startKey)
    for (const request of requests) noteCrash(context, request, server.start, brokenMs, `health check: ${evidence}`)
  }

  const begin = (startKey: string, server: KnownServer): BrokenServer => {
    const brokenMs = timers.nowMs()
    const requests = new Set<RoutedRequest>()
    const settled = settle(startKey, server, brokenMs, requests)
      .catch((error: Error) => { events.emit(BaseEvent.unexpectedFault, { step: 'crashes.watch', reason: error.message }) })
    return { requests, settled }
  }

  return {
    isBroken: start => broken.has(startKeyOf(start)) || diedMs.has(startKeyOf(start)),
    watch: async (request, server) => {
      const startKey = startKeyOf(server.start)
      const known = broken.get(startKey) ?? begin(startKey, server)
      broken.set(startKey, known)
      known.requests.add(request)
      await Promise.race([known.settled, sleep(timers, VERDICT_WAIT_MS)])
    },
    forget: identity => {
      for (const { requests } of broken.values()) {
        for (const request of requests) {
          if (request.identity.contentHash === identity.contentHash && request.identity.callerId === identity.callerId) requests.delete(request)
        }
      }
    }
  }
}
