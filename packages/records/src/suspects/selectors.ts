import { CONVICTION_WINDOW_MS, SUSPICION_MS } from './constants.js'

import type { AgreedState } from '../fold/types.js'
import type { SuspectDeath } from './types.js'

/** `suspect`: runs alone. `convicted`: is refused as quarantined. */
export type SuspectVerdict = 'none' | 'suspect' | 'convicted'

const convicts = (deaths: readonly SuspectDeath[]): boolean => {
  const last = deaths.at(-1)
  if (!last?.alone) return false
  const earlier = deaths.slice(0, -1)
  return earlier.some(death => death.alone || last.atMs - death.atMs <= CONVICTION_WINDOW_MS)
}

/**
 * What the log says of a request by its fingerprint. Convicted is whoever was running alone at
 * the last death and was running at another one within CONVICTION_WINDOW_MS, or alone at another
 * one whenever. `nowMs` is log time, or a Unix clock close to it.
 */
export const judgeSuspect = (state: AgreedState, fingerprint: string, nowMs: number): SuspectVerdict => {
  const deaths = state.suspects.get(fingerprint)?.deaths ?? []
  const recent = deaths.filter(death => nowMs - death.atMs <= SUSPICION_MS)
  if (recent.length === 0) return 'none'
  return convicts(recent) ? 'convicted' : 'suspect'
}
