import { judgeSuspect } from '@figmount/records'

import { AgentEvent } from '../events.js'
import { FAST_SUSPICION_COUNT, FAST_SUSPICION_MS } from './constants.js'

import type { SuspectVerdict } from '@figmount/records'
import type { AgentContext } from '../agent/types.js'
import type { AppendReliably } from '../rights/appendReliably.js'
import type { Attempt } from '../attempts/types.js'

/** A suspicion as it goes to every router. */
export interface Suspicion {
  readonly fingerprints: readonly string[]
  readonly deathId: string
}

interface Options {
  readonly context: AgentContext
  readonly append: AppendReliably
  /** Tells every router that is connected. */
  readonly tellRouters: (suspicion: Suspicion) => void
}

/** What is known of requests that may crash engines. */
export interface SuspectBook {
  readonly verdictOf: (attempt: Pick<Attempt, 'request'>) => SuspectVerdict
  readonly reportDeath: (deathId: string, inFlight: readonly Attempt[]) => void
  /** Takes a suspicion from a peer, ahead of the log. */
  readonly takeFast: (fingerprints: readonly string[]) => void
  /** A request got its answer. */
  readonly clear: (attempt: Attempt) => void
}

/**
 * Makes the book of suspects.
 *
 * Guards against a request that crashes every engine that runs it and that its caller sends again: the routers and
 * the log hear of it before the request is handed back, so that the next agent already runs it alone.
 */
export const createSuspectBook = ({ context, append, tellRouters }: Options): SuspectBook => {
  const { records, events, timers, instance } = context
  const fast = new Map<string, number>()

  const takeFast = (fingerprints: readonly string[]): void => {
    for (const fingerprint of fingerprints) {
      fast.delete(fingerprint)
      fast.set(fingerprint, timers.nowMs() + FAST_SUSPICION_MS)
    }
    for (const oldest of fast.keys()) {
      if (fast.size <= FAST_SUSPICION_COUNT) break
      fast.delete(oldest)
    }
  }

  return {
    verdictOf: ({ request }) => {
      const verdict = judgeSuspect(records.state(), request.fingerprint, timers.unixMs())
      if (verdict !== 'none') return verdict
      const isFast = (fast.get(request.fingerprint) ?? 0) > timers.nowMs()
      return isFast || request.suspect ? 'suspect' : 'none'
    },
    reportDeath: (deathId, inFlight) => {
      const fingerprints = [...new Set(inFlight.map(({ request }) => request.fingerprint))].filter(fingerprint => fingerprint !== '')
      if (fingerprints.length === 0) return
      events.emit(AgentEvent.suspectsReported, { detail: deathId, count: fingerprints.length })
      takeFast(fingerprints)
      tellRouters({ fingerprints, deathId })
      append({ kind: 'suspect.add', fingerprints, deathId, instance })
    },
    takeFast,
    clear: ({ id, request }) => {
      const wasFast = fast.delete(request.fingerprint)
      if (!wasFast && !records.state().suspects.has(request.fingerprint)) return
      events.emit(AgentEvent.suspectCleared, { attemptId: id, caller: request.caller, requestKey: request.requestKey, model: request.model })
      append({ kind: 'suspect.clear', fingerprint: request.fingerprint })
    }
  }
}
