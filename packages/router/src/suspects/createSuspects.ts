import { classifySuspect } from '@figmount/records'

import type { AgreedState, SuspectDeath } from '@figmount/records'
import type { Suspects, Suspicion } from './types.js'

interface Options {
  readonly state: () => AgreedState
  readonly unixMs: () => number
}

/** Maximum number of fingerprints with peer reports, about 200 bytes each; the log holds the others. */
const MAX_PEER_FINGERPRINTS = 10_000

/**
 * Combines the suspicions in the log with those reported by peers. Without the latter, a resend could
 * crash another backend server before the log has delivered the suspicion, or at any time while the
 * log is unreachable.
 */
export const createSuspects = ({ state, unixMs }: Options): Suspects => {
  const peerDeaths = new Map<string, readonly SuspectDeath[]>()

  const deathsOf = (fingerprint: string): readonly SuspectDeath[] => {
    const logged = state().suspects.get(fingerprint)?.deaths ?? []
    const unlogged = (peerDeaths.get(fingerprint) ?? []).filter(death => !logged.some(known => known.deathId === death.deathId))
    return [...logged, ...unlogged]
  }

  const addDeath = (fingerprint: string, death: SuspectDeath): void => {
    peerDeaths.set(fingerprint, [...(peerDeaths.get(fingerprint) ?? []), death])
    const [oldest] = peerDeaths.keys()
    if (peerDeaths.size > MAX_PEER_FINGERPRINTS && oldest !== undefined) peerDeaths.delete(oldest)
  }

  return {
    verdictOf: fingerprint => {
      if (!peerDeaths.has(fingerprint)) return classifySuspect(state(), fingerprint, unixMs())
      const suspects = new Map([[fingerprint, { fingerprint, deaths: deathsOf(fingerprint) }]])
      return classifySuspect({ ...state(), suspects }, fingerprint, unixMs())
    },
    addFromPeer: ({ fingerprints, deathId, instance }: Suspicion) => {
      const fresh = fingerprints.filter(fingerprint => !deathsOf(fingerprint).some(death => death.deathId === deathId))
      for (const fingerprint of fresh) {
        addDeath(fingerprint, { deathId, instance, atMs: unixMs(), alone: fingerprints.length === 1 })
      }
      return fresh.length > 0
    },
    clear: fingerprint => { peerDeaths.delete(fingerprint) }
  }
}
