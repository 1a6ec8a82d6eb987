import { startKeyOf } from '../servers/compareStarts.js'
import { createAnswerTimes } from './createAnswerTimes.js'

import type { TimerService } from '@figmount/base'
import type { ServerStart } from '../servers/types.js'
import type { AnsweredRequest, Crash, RequestIdentity } from './types.js'

/** Retention of a crash, and of an answer: the caller of its request resends it within seconds, or minutes. */
const RETENTION_MS = 120_000

/** Time after which an answer to a request is reported again if crashes of it are known. */
const REPEAT_ANSWER_MS = RETENTION_MS / 2

/** Maximum number of stored contents. */
const MAX_CONTENTS = 500

/** Maximum number of callers stored for one content. */
const MAX_CALLERS_OF_CONTENT = 50

interface KnownCrash {
  readonly start: ServerStart
  readonly atMs: number
}

/** Crashes of requests with the same content. */
interface ContentCrashes {
  /** By caller and start: a server may crash repeatedly under one id because of the same request, and each start counts once. */
  readonly byCaller: Map<string, Map<string, KnownCrash>>
  readonly lastMs: number
}

/** Counts of crashes that concern one request. */
export interface CrashCounts {
  /** Starts that died while they ran the request of this caller; 0 if it was answered. */
  readonly ownCount: number
  /** Callers of requests with this content that were running when servers died; 0 if one of them was answered. */
  readonly callerCount: number
  /** Starts that died so. */
  readonly startCount: number
  /** Another request that was not answered was running at each of the request's own deaths, too. */
  readonly isTied: boolean
  /** Time since the latest death under the request of this caller; Infinity without one. */
  readonly sinceLastMs: number
}

/** Requests that were running when their backend servers died, and answered ones, as one process knows them. */
export interface CrashHistory {
  /** Returns false if the crash was known or is too old. */
  readonly note: (crash: Crash) => boolean
  /** Returns true if crashes of the request are known, so that other processes need to know of the answer. */
  readonly noteAnswer: (answer: AnsweredRequest) => boolean
  readonly countsOf: (identity: RequestIdentity) => CrashCounts
  /** The latest answer to a request; undefined if none is known. */
  readonly answerTo: (identity: RequestIdentity) => AnsweredRequest | undefined
  /** All known crashes. */
  readonly crashes: () => readonly Crash[]
}

const NO_CRASHES: ReadonlyMap<string, KnownCrash> = new Map()

/** Creates the crash history of one process. */
export const createCrashHistory = (timers: TimerService): CrashHistory => {
  const contents = new Map<string, ContentCrashes>()
  const answers = createAnswerTimes(timers)

  // Contents are ordered by their latest crash.
  const trim = (): void => {
    const nowMs = timers.nowMs()
    for (const [hash, { lastMs }] of contents) {
      if (contents.size <= MAX_CONTENTS && nowMs - lastMs < RETENTION_MS) return
      contents.delete(hash)
    }
  }

  const add = ({ contentHash, callerId }: RequestIdentity, startKey: string, crash: KnownCrash): void => {
    const content = contents.get(contentHash)
    const byCaller = content?.byCaller ?? new Map<string, Map<string, KnownCrash>>()
    const known = byCaller.get(callerId) ?? new Map<string, KnownCrash>()
    if (known.size === 0 && byCaller.size >= MAX_CALLERS_OF_CONTENT) return
    known.set(startKey, crash)
    byCaller.set(callerId, known)
    contents.delete(contentHash)
    contents.set(contentHash, { byCaller, lastMs: Math.max(content?.lastMs ?? -Infinity, crash.atMs) })
  }

  const crashesOf = ({ contentHash, callerId }: RequestIdentity): ReadonlyMap<string, KnownCrash> | undefined =>
    contents.get(contentHash)?.byCaller.get(callerId)

  const countStarts = (contentHash: string): number => {
    const startKeys = new Set<string>()
    for (const known of contents.get(contentHash)?.byCaller.values() ?? []) {
      for (const startKey of known.keys()) startKeys.add(startKey)
    }
    return startKeys.size
  }

  const isAnswered = (identity: RequestIdentity): boolean => answers.ageOfRequestMs(identity) < RETENTION_MS

  const ranAtAll = (own: ReadonlyMap<string, KnownCrash>, other: ReadonlyMap<string, KnownCrash>): boolean => {
    if (other === own || other.size < own.size) return false
    for (const startKey of own.keys()) {
      if (!other.has(startKey)) return false
    }
    return true
  }

  const isTied = (own: ReadonlyMap<string, KnownCrash>): boolean => {
    // One death hits all that ran at its server: it shows no tie.
    if (own.size < 2) return false
    for (const [contentHash, { byCaller }] of contents) {
      for (const [callerId, other] of byCaller) {
        if (ranAtAll(own, other) && !isAnswered({ contentHash, callerId })) return true
      }
    }
    return false
  }

  const sinceLastMs = (own: ReadonlyMap<string, KnownCrash>): number => {
    let lastMs = -Infinity
    for (const { atMs } of own.values()) lastMs = Math.max(lastMs, atMs)
    return timers.nowMs() - lastMs
  }

  return {
    note: ({ identity, start, ageMs }) => {
      trim()
      const startKey = startKeyOf(start)
      if (ageMs >= RETENTION_MS || crashesOf(identity)?.has(startKey)) return false
      add(identity, startKey, { start, atMs: timers.nowMs() - ageMs })
      return true
    },
    noteAnswer: ({ identity, ageMs }) => {
      const isRepeat = answers.ageOfRequestMs(identity) - ageMs < REPEAT_ANSWER_MS
      answers.note(identity, timers.nowMs() - ageMs)
      return !isRepeat && crashesOf(identity) !== undefined
    },
    countsOf: identity => {
      const { contentHash } = identity
      const isContentAnswered = answers.ageOfContentMs(contentHash) < RETENTION_MS
      const own = isAnswered(identity) ? NO_CRASHES : crashesOf(identity) ?? NO_CRASHES
      return {
        ownCount: own.size,
        isTied: isTied(own),
        sinceLastMs: sinceLastMs(own),
        callerCount: isContentAnswered ? 0 : contents.get(contentHash)?.byCaller.size ?? 0,
        startCount: isContentAnswered ? 0 : countStarts(contentHash)
      }
    },
    answerTo: identity => {
      const ageMs = answers.ageOfRequestMs(identity)
      return ageMs < RETENTION_MS ? { identity, ageMs } : undefined
    },
    crashes: () => {
      trim()
      const crashes: Crash[] = []
      for (const [contentHash, { byCaller }] of contents) {
        for (const [callerId, known] of byCaller) {
          for (const { start, atMs } of known.values()) crashes.push({ identity: { contentHash, callerId }, start, ageMs: timers.nowMs() - atMs })
        }
      }
      return crashes
    }
  }
}
