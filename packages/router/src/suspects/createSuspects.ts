import { judgeSuspect } from '@figmount/records'

import type { AgreedState, SuspectDeath } from '@figmount/records'
import type { Suspects, Suspicion } from './types.js'

interface Options {
  readonly state: () => AgreedState
  readonly unixMs: () => number
}

/** Fingerprints remembered from peers, about 200 bytes each; the log holds the rest. */
const MAX_HEARD = 10_000

/**
 * Joins the suspicions in the log with those that peers pass on. Without the latter a resend
 * could bring down the next backend server before the log has carried the news, or at any time
 * while the log is out of reach.
 */
export const createSuspects = ({ state, unixMs }: Options): Suspects => {
  const heard = new Map<string, readonly SuspectDeath[]>()

  const deathsOf = (fingerprint: string): readonly SuspectDeath[] => {
    const logged = state().suspects.get(fingerprint)?.deaths ?? []
    const unlogged = (heard.get(fingerprint) ?? []).filter(death => !logged.some(known => known.deathId === death.deathId))
    return [...logged, ...unlogged]
  }

  const addDeath = (fingerprint: string, death: SuspectDeath): void => {
    heard.set(fingerprint, [...(heard.get(fingerprint) ?? []), death])
    const [oldest] = heard.keys()
    if (heard.size > MAX_HEARD && oldest !== undefined) heard.delete(oldest)
  }

  return {
    verdictOf: fingerprint => {
      if (!heard.has(fingerprint)) return judgeSuspect(state(), fingerprint, unixMs())
      const suspects = new Map([[fingerprint, { fingerprint, deaths: deathsOf(fingerprint) }]])
      return judgeSuspect({ ...state(), suspects }, fingerprint, unixMs())
    },
    hear: ({ fingerprints, deathId, instance }: Suspicion) => {
      const fresh = fingerprints.filter(fingerprint => !deathsOf(fingerprint).some(death => death.deathId === deathId))
      for (const fingerprint of fresh) {
        addDeath(fingerprint, { deathId, instance, atMs: unixMs(), alone: fingerprints.length === 1 })
      }
      return fresh.length > 0
    },
    clear: fingerprint => { heard.delete(fingerprint) }
  }
}
