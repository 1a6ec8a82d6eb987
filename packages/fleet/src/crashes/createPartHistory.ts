import { startKeyOf } from '../servers/compareStarts.js'

import type { TimerService } from '@figmount/base'
import type { ServerStart } from '../servers/types.js'
import type { PartDeath, PartProof, PartRun } from './types.js'

/** Retention of a death. Longer than any pause in which requests with its parts are refused. */
const RETENTION_MS = 600_000

/** Maximum number of stored deaths, and of parts in one of them: a batch of requests with a few parts each. */
const MAX_DEATHS = 60
const MAX_PARTS_OF_DEATH = 300

/** Maximum number of parts of which a proof is stored: those of the latest runs. */
const MAX_PROVEN = 2_000

interface KnownRun {
  readonly sentMs: number
  /** Key of the latest start that had died with the part before the run was sent. */
  readonly sentAfter: string | undefined
}

interface KnownDeath {
  readonly start: ServerStart
  readonly startKey: string
  readonly atMs: number
  /** By part: the latest run with it. */
  readonly runs: Map<string, KnownRun>
}

/** Parts of prompts that were running when their backend servers died, and parts on which servers have written, as one process knows them. */
export interface PartHistory {
  /** Returns the part of the death that was not known; undefined if there is none. */
  readonly note: (death: PartDeath) => PartDeath | undefined
  /** Returns true if other processes need to know: the proof says something new of a part under which servers have died. */
  readonly noteProof: (proof: PartProof) => boolean
  /** The latest proof of a part; undefined if none is known. */
  readonly proofOf: (partId: string) => PartProof | undefined
  /** Key of the latest start that has died with the part before this time; undefined if none is known. */
  readonly lastDeathBefore: (partId: string, sentMs: number) => string | undefined
  /** All known deaths, with the parts that no later run has disproved. */
  readonly deaths: () => readonly PartDeath[]
  /** The same for a decision, on the clock of this process. */
  readonly view: () => { readonly deaths: readonly KnownDeath[], readonly provenMs: ReadonlyMap<string, number> }
  /** Grows whenever deaths, or proofs of their parts, become known. */
  readonly changeCount: () => number
}

/** Creates the history of one process. */
export const createPartHistory = (timers: TimerService): PartHistory => {
  // In the order in which they became known.
  const deaths = new Map<string, KnownDeath>()
  const provenMs = new Map<string, number>()
  let changeCount = 0

  const trim = (): void => {
    for (const [startKey, { atMs }] of deaths) {
      if (deaths.size <= MAX_DEATHS && timers.nowMs() - atMs < RETENTION_MS) return
      deaths.delete(startKey)
      changeCount += 1
    }
  }

  const knownDeathOf = ({ start, ageMs }: PartDeath): KnownDeath => {
    const startKey = startKeyOf(start)
    const known = deaths.get(startKey) ?? { start, startKey, atMs: timers.nowMs() - ageMs, runs: new Map<string, KnownRun>() }
    deaths.set(startKey, known)
    return known
  }

  const lastDeath = (partId: string, beforeMs = Infinity): KnownDeath | undefined => {
    let last: KnownDeath | undefined
    for (const death of deaths.values()) {
      if (!death.runs.has(partId) || death.atMs >= beforeMs) continue
      if (death.atMs > (last?.atMs ?? -Infinity)) last = death
    }
    return last
  }

  const keepProof = (partId: string, atMs: number): void => {
    provenMs.delete(partId)
    provenMs.set(partId, atMs)
    if (provenMs.size <= MAX_PROVEN) return
    const [oldest = ''] = provenMs.keys()
    provenMs.delete(oldest)
  }

  const provenAgeMs = (partId: string): number | undefined => {
    const atMs = provenMs.get(partId)
    return atMs === undefined ? undefined : timers.nowMs() - atMs
  }

  const suspectsOf = ({ start, atMs, runs }: KnownDeath): PartDeath => {
    const parts: PartRun[] = []
    for (const [partId, { sentMs, sentAfter }] of runs) {
      if ((provenMs.get(partId) ?? -Infinity) > atMs) continue
      parts.push({ partId, sentAgeMs: timers.nowMs() - sentMs, provenAgeMs: provenAgeMs(partId), sentAfter })
    }
    return { start, ageMs: timers.nowMs() - atMs, parts }
  }

  const noteRun = (runs: Map<string, KnownRun>, { partId, sentAgeMs, provenAgeMs: ageMs, sentAfter }: PartRun): void => {
    runs.set(partId, { sentMs: timers.nowMs() - sentAgeMs, sentAfter })
    if (ageMs !== undefined) keepProof(partId, Math.max(timers.nowMs() - ageMs, provenMs.get(partId) ?? -Infinity))
  }

  return {
    note: death => {
      trim()
      if (death.ageMs >= RETENTION_MS) return undefined
      const { runs } = knownDeathOf(death)
      const newParts = death.parts.filter(({ partId }) => !runs.has(partId)).slice(0, Math.max(0, MAX_PARTS_OF_DEATH - runs.size))
      if (newParts.length === 0) return undefined
      for (const run of newParts) noteRun(runs, run)
      changeCount += 1
      return { ...death, parts: newParts }
    },
    noteProof: ({ partId, sentAgeMs }) => {
      const knownMs = provenMs.get(partId) ?? -Infinity
      const sentMs = timers.nowMs() - sentAgeMs
      keepProof(partId, Math.max(knownMs, sentMs))
      const diedMs = lastDeath(partId)?.atMs ?? -Infinity
      if (diedMs === -Infinity) return false
      const isNews = knownMs === -Infinity || (sentMs > diedMs && knownMs <= diedMs)
      if (isNews) changeCount += 1
      return isNews
    },
    proofOf: partId => {
      const ageMs = provenAgeMs(partId)
      return ageMs === undefined ? undefined : { partId, sentAgeMs: ageMs }
    },
    lastDeathBefore: (partId, sentMs) => lastDeath(partId, sentMs)?.startKey,
    deaths: () => {
      trim()
      return [...deaths.values()].map(suspectsOf).filter(({ parts }) => parts.length > 0)
    },
    view: () => ({ deaths: [...deaths.values()], provenMs }),
    changeCount: () => {
      trim()
      return changeCount
    }
  }
}
