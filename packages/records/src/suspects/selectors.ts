import { CONVICTION_WINDOW_MS, DEATH_RETENTION_MS } from './constants.js'

import type { AgreedState } from '../fold/types.js'
import type { SuspectDeath } from './types.js'

/** `suspect`: the request runs alone on its engine. `convicted`: it is refused as quarantined. */
export type SuspectVerdict = 'none' | 'suspect' | 'convicted'

const isConvictedBy = (deaths: readonly SuspectDeath[]): boolean => {
  const last = deaths.at(-1)
  if (!last?.alone) return false
  const earlier = deaths.slice(0, -1)
  return earlier.some(death => death.alone || last.atMs - death.atMs <= CONVICTION_WINDOW_MS)
}

/**
 * The verdict on a request by its fingerprint. It is convicted if it was the only running request at its
 * last engine death and was running at another death within CONVICTION_WINDOW_MS before, or was the only one
 * at any earlier death. `nowMs` is log time or a Unix clock close to it.
 */
export const classifySuspect = (state: AgreedState, fingerprint: string, nowMs: number): SuspectVerdict => {
  const deaths = state.suspects.get(fingerprint)?.deaths ?? []
  const recent = deaths.filter(death => nowMs - death.atMs <= DEATH_RETENTION_MS)
  if (recent.length === 0) return 'none'
  return isConvictedBy(recent) ? 'convicted' : 'suspect'
}
