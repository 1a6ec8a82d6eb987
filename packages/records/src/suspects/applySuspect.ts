import { MAX_DEATHS_PER_SUSPECT, MAX_SUSPECTS } from './constants.js'
import { applied, ignored } from '../fold/outcomes.js'

import type { Draft } from '../fold/openDraft.js'
import type { FoldOutcome, LogRecord } from '../fold/types.js'
import type { SuspectDeath } from './types.js'

type SuspectAdd = Extract<LogRecord, { kind: 'suspect.add' }>
type SuspectClear = Extract<LogRecord, { kind: 'suspect.clear' }>

/** Records the death of an engine for each request that was running on it. */
export const applySuspectAdd = (draft: Draft, record: SuspectAdd): FoldOutcome => {
  const death: SuspectDeath = {
    deathId: record.deathId,
    instance: record.instance,
    atMs: draft.state.asOfMs,
    alone: record.fingerprints.length === 1
  }
  let isNew = false
  for (const fingerprint of record.fingerprints) {
    const known = draft.state.suspects.get(fingerprint)
    if (known?.deaths.some(earlier => earlier.deathId === record.deathId)) continue
    isNew = true
    const suspects = draft.change('suspects')
    // Deleted first, so that the map stays ordered by last death.
    suspects.delete(fingerprint)
    suspects.set(fingerprint, { fingerprint, deaths: [...known?.deaths ?? [], death].slice(-MAX_DEATHS_PER_SUSPECT) })
    const [oldest] = suspects.keys()
    if (oldest !== undefined && suspects.size > MAX_SUSPECTS) suspects.delete(oldest)
  }
  return isNew ? applied : ignored('the death is known')
}

/** Removes a suspect whose request has been answered since. */
export const applySuspectClear = (draft: Draft, record: SuspectClear): FoldOutcome => {
  if (!draft.state.suspects.has(record.fingerprint)) return ignored('no such suspect')
  draft.change('suspects').delete(record.fingerprint)
  return applied
}
