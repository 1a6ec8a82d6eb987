import { findDeadlyParts, judgePrompt } from '@figmount/decisions'

import { GatewayEvent } from '../events.js'
import { sharedParts } from './sharedParts.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { DeadlyParts, PromptVerdict } from '@figmount/decisions'
import type { CallerRequest, PartDeath, PartHistory, PartProof, ServerStart } from '@figmount/fleet'
import type { CrashNotifier } from './createCrashNotifier.js'

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly history: PartHistory
  readonly crashNotifier: CrashNotifier
}

/** Keeps requests from servers whose prompts have a part of which servers die. */
export interface PartGuard {
  /** Judges a request before it is sent. */
  readonly judge: (caller: CallerRequest) => PromptVerdict
  /** A server has died with a run of the request that was sent at `sentMs` and shows nothing for its parts. */
  readonly noteDeath: (caller: CallerRequest, start: ServerStart, sentMs: number, brokenMs: number) => void
  /** A server has written on the request for a while, in a run that was sent at `sentMs`. */
  readonly noteProof: (caller: CallerRequest, sentMs: number) => void
  /** Takes what other routers report. */
  readonly takeDeaths: (deaths: readonly PartDeath[]) => void
  readonly takeProofs: (proofs: readonly PartProof[]) => void
  /** All known deaths, for an agent that may not know them. */
  readonly deaths: () => readonly PartDeath[]
  /** Number of findings: parts, or parts of which one is the cause. */
  readonly foundCount: () => number
}

/** The latest request that a router has run to find out about parts. */
interface Trial {
  readonly requestId: string
  readonly atMs: number
}

/** A finding is another one after a further death, or with fewer parts. */
const keyOf = ({ partIds, deathCount, lastDeathMs }: DeadlyParts): string => `${deathCount} ${lastDeathMs} ${partIds.join(',')}`

/** Creates the guard of one router. */
export const createPartGuard = ({ timers, events, history, crashNotifier }: Options): PartGuard => {
  let judgedCount = 0
  let found: readonly DeadlyParts[] = []
  let trials = new Map<string, Trial>()

  const logFound = (parts: DeadlyParts): void => {
    events.emit(GatewayEvent.partsBlamed, {
      promptParts: parts.partIds,
      count: parts.deathCount,
      ageMs: Math.round(timers.nowMs() - parts.lastDeathMs),
      reason: parts.wereProven ? 'servers have written on them before' : 'no server has written on them'
    })
  }

  const deadlyParts = (): readonly DeadlyParts[] => {
    const changeCount = history.changeCount()
    if (changeCount === judgedCount) return found
    judgedCount = changeCount
    const known = new Set(found.map(keyOf))
    found = findDeadlyParts(history.view())
    for (const parts of found) {
      if (!known.has(keyOf(parts))) logFound(parts)
    }
    trials = new Map([...trials].filter(([key]) => found.some(parts => keyOf(parts) === key)))
    return found
  }

  const sinceTrialMs = (parts: DeadlyParts, requestId: string): number => {
    const trial = trials.get(keyOf(parts))
    // A request that waits for its model goes on with its own trial.
    if (!trial || trial.requestId === requestId) return Infinity
    return timers.nowMs() - trial.atMs
  }

  const shareProofs = (proofs: readonly PartProof[]): void => {
    const news = proofs.filter(proof => history.noteProof(proof))
    if (news.length === 0) return
    crashNotifier.notify({ partProofs: news })
    events.emit(GatewayEvent.partsProven, { promptParts: news.map(({ partId }) => partId), ageMs: Math.round(Math.max(...news.map(({ sentAgeMs }) => sentAgeMs))) })
  }

  /** Own proofs of parts of which the reporter of a death knew none. */
  const answerDeath = ({ parts }: PartDeath): void => {
    const partProofs: PartProof[] = []
    for (const { partId, provenAgeMs } of parts) {
      const proof = provenAgeMs === undefined ? history.proofOf(partId) : undefined
      if (proof) partProofs.push(proof)
    }
    if (partProofs.length > 0) crashNotifier.notify({ partProofs })
  }

  return {
    judge: caller => {
      const known = deadlyParts()
      if (known.length === 0) return { type: 'run' }
      const { requestId } = caller
      const verdict = judgePrompt({ partIds: sharedParts(caller), deadlyParts: known, nowMs: timers.nowMs(), sinceTrialMs: parts => sinceTrialMs(parts, requestId) })
      if (verdict.type !== 'trial') return verdict
      trials.set(keyOf(verdict.parts), { requestId, atMs: timers.nowMs() })
      events.emit(GatewayEvent.partsTried, { requestKey: requestId, promptParts: verdict.parts.partIds, count: verdict.parts.deathCount })
      return verdict
    },
    noteDeath: (caller, start, sentMs, brokenMs) => {
      const sentAgeMs = timers.nowMs() - sentMs
      const parts = sharedParts(caller).map(partId => {
        const proof = history.proofOf(partId)
        return { partId, sentAgeMs, provenAgeMs: proof?.sentAgeMs, sentAfter: history.lastDeathBefore(partId, sentMs) }
      })
      const news = history.note({ start, ageMs: timers.nowMs() - brokenMs, parts })
      if (news) crashNotifier.notify({ partDeaths: [news] })
    },
    noteProof: (caller, sentMs) => { shareProofs(sharedParts(caller).map(partId => ({ partId, sentAgeMs: timers.nowMs() - sentMs }))) },
    takeDeaths: deaths => {
      for (const death of deaths) {
        const news = history.note(death)
        if (news) answerDeath(news)
      }
    },
    takeProofs: proofs => { for (const proof of proofs) history.noteProof(proof) },
    deaths: history.deaths,
    foundCount: () => deadlyParts().length
  }
}
