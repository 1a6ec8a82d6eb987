import { judgeSuspect } from '@figmount/records'

import { AgentEvent } from '../events.js'
import { MAX_RECENT_DEATHS, MAX_RECENT_SUSPECTS, RECENT_DEATH_KEEP_MS } from './constants.js'

import type { InstanceName } from '@figmount/base'
import type { SuspectDeath, SuspectVerdict } from '@figmount/records'
import type { AgentContext } from '../agent/types.js'
import type { AppendReliably } from '../rights/appendReliably.js'
import type { Attempt } from '../attempts/types.js'

/** A suspicion as it goes to every router. */
export interface Suspicion {
  readonly fingerprints: readonly string[]
  readonly deathId: string
}

/** A suspicion as it comes from a peer. */
export interface PeerSuspicion extends Suspicion {
  readonly instance: InstanceName
}

interface Options {
  readonly context: AgentContext
  readonly append: AppendReliably
  /** Tells every router that is connected. */
  readonly notifyRouters: (suspicion: Suspicion) => void
}

/** What is known of requests that may crash engines. */
export interface SuspectTracker {
  readonly verdictOf: (attempt: Pick<Attempt, 'request'>) => SuspectVerdict
  readonly reportDeath: (deathId: string, inFlight: readonly Attempt[]) => void
  /** Takes a suspicion from a peer, ahead of the log. */
  readonly addFromPeer: (suspicion: PeerSuspicion) => void
  /** A request got its answer. */
  readonly clear: (attempt: Attempt) => void
}

/**
 * Makes the book of suspects.
 *
 * Guards against a request that crashes every engine that runs it and that its caller sends again: the routers and
 * the log hear of it before the request is handed back, so that the next agent already runs it alone. What
 * came over links convicts as the log does, so that an outage of the log costs no third engine.
 */
export const createSuspectTracker = ({ context, append, notifyRouters }: Options): SuspectTracker => {
  const { records, events, timers, instance } = context
  const recentDeaths = new Map<string, readonly SuspectDeath[]>()

  const addFromPeer = ({ fingerprints, deathId, instance: diedAt }: PeerSuspicion): void => {
    const death: SuspectDeath = { deathId, instance: diedAt, atMs: timers.unixMs(), alone: fingerprints.length === 1 }
    for (const fingerprint of fingerprints) {
      const known = recentDeaths.get(fingerprint) ?? []
      if (known.some(earlier => earlier.deathId === deathId)) continue
      recentDeaths.delete(fingerprint)
      recentDeaths.set(fingerprint, [...known, death].slice(-MAX_RECENT_DEATHS))
    }
    for (const oldest of recentDeaths.keys()) {
      if (recentDeaths.size <= MAX_RECENT_SUSPECTS) break
      recentDeaths.delete(oldest)
    }
  }

  /** The deaths that the log knows and those that it may not have yet. */
  const deathsOf = (fingerprint: string): readonly SuspectDeath[] => {
    const logged = records.state().suspects.get(fingerprint)?.deaths ?? []
    const recent = (recentDeaths.get(fingerprint) ?? []).filter(({ atMs }) => timers.unixMs() - atMs <= RECENT_DEATH_KEEP_MS)
    return [...logged, ...recent.filter(({ deathId }) => !logged.some(death => death.deathId === deathId))]
  }

  const judge = (fingerprint: string): SuspectVerdict => {
    const state = records.state()
    if (!recentDeaths.has(fingerprint)) return judgeSuspect(state, fingerprint, timers.unixMs())
    const suspects = new Map([[fingerprint, { fingerprint, deaths: deathsOf(fingerprint) }]])
    return judgeSuspect({ ...state, suspects }, fingerprint, timers.unixMs())
  }

  return {
    verdictOf: ({ request }) => {
      const verdict = judge(request.fingerprint)
      return verdict === 'none' && request.suspect ? 'suspect' : verdict
    },
    reportDeath: (deathId, inFlight) => {
      const fingerprints = [...new Set(inFlight.map(({ request }) => request.fingerprint))].filter(fingerprint => fingerprint !== '')
      if (fingerprints.length === 0) return
      events.emit(AgentEvent.suspectsReported, { detail: deathId, count: fingerprints.length })
      addFromPeer({ fingerprints, deathId, instance })
      notifyRouters({ fingerprints, deathId })
      append({ kind: 'suspect.add', fingerprints, deathId, instance })
    },
    addFromPeer,
    clear: ({ id, request }) => {
      const wasRecent = recentDeaths.delete(request.fingerprint)
      if (!wasRecent && !records.state().suspects.has(request.fingerprint)) return
      events.emit(AgentEvent.suspectCleared, { attemptId: id, caller: request.caller, requestKey: request.requestKey, model: request.model })
      append({ kind: 'suspect.clear', fingerprint: request.fingerprint })
    }
  }
}
