import { classifySuspect } from '@figmount/records'

import { AgentEvent } from '../events.js'
import { MAX_RECENT_DEATHS, MAX_RECENT_SUSPECTS, RECENT_DEATH_KEEP_MS } from './constants.js'

import type { InstanceName } from '@figmount/base'
import type { SuspectDeath, SuspectVerdict } from '@figmount/records'
import type { AgentContext } from '../agent/types.js'
import type { AppendReliably } from '../rights/appendReliably.js'
import type { Attempt } from '../attempts/types.js'

/** A suspicion as sent to every router. */
export interface Suspicion {
  readonly fingerprints: readonly string[]
  readonly deathId: string
}

/** A suspicion as received from a peer. */
export interface PeerSuspicion extends Suspicion {
  readonly instance: InstanceName
}

interface Options {
  readonly context: AgentContext
  readonly append: AppendReliably
  /** Sends the suspicion to every connected router. */
  readonly notifyRouters: (suspicion: Suspicion) => void
}

/** Tracks requests that may have crashed engines. */
export interface SuspectTracker {
  readonly verdictOf: (attempt: Pick<Attempt, 'request'>) => SuspectVerdict
  readonly reportDeath: (deathId: string, inFlight: readonly Attempt[]) => void
  /** Adds a suspicion received from a peer before it is in the log. */
  readonly addFromPeer: (suspicion: PeerSuspicion) => void
  /** Clears the suspicion of a request that was answered. */
  readonly clear: (attempt: Attempt) => void
}

/**
 * Creates the suspect tracker.
 *
 * A request can crash every engine that runs it while its caller keeps resending it. A death is therefore reported to
 * the routers and the log before the request is refused, so that the next agent runs it alone. Reports over links
 * convict like log records, so that an outage of the log does not cost a third engine.
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

  /** The deaths recorded in the log, and recent ones that may not be in it yet. */
  const deathsOf = (fingerprint: string): readonly SuspectDeath[] => {
    const logged = records.state().suspects.get(fingerprint)?.deaths ?? []
    const recent = (recentDeaths.get(fingerprint) ?? []).filter(({ atMs }) => timers.unixMs() - atMs <= RECENT_DEATH_KEEP_MS)
    return [...logged, ...recent.filter(({ deathId }) => !logged.some(death => death.deathId === deathId))]
  }

  const judge = (fingerprint: string): SuspectVerdict => {
    const state = records.state()
    if (!recentDeaths.has(fingerprint)) return classifySuspect(state, fingerprint, timers.unixMs())
    const suspects = new Map([[fingerprint, { fingerprint, deaths: deathsOf(fingerprint) }]])
    return classifySuspect({ ...state, suspects }, fingerprint, timers.unixMs())
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
