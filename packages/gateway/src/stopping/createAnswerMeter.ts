import { expectAnswerMs, noteAnswerTime } from '@figmount/decisions'

import { MAX_ANSWER_KINDS, MIN_KIND_ANSWERS } from './constants.js'

import type { AnswerTimes } from '@figmount/decisions'
import type { CallerRequest, Route } from '@figmount/fleet'

/** What the time of an answer depends on. */
export interface AnsweredRequest {
  readonly caller: Pick<CallerRequest, 'modelName' | 'promptTokens' | 'outputTokens'>
  readonly route: Pick<Route, 'name'>
}

/** How long answers take from their sends to their ends, as one router measures it. */
export interface AnswerMeter {
  /** Adds a whole answer that took `tookMs`. */
  readonly note: (request: AnsweredRequest, tookMs: number) => void
  /** Time within which an answer to the request is expected to end, in ms; 0 without any measurement. */
  readonly expectedMs: (request: AnsweredRequest) => number
}

const sizeClassOf = (tokenCount: number | undefined): number => Math.ceil(Math.log2(1 + (tokenCount ?? 0)))

/** The kinds that a request's answer belongs to, the narrowest first. */
const kindsOf = ({ caller, route }: AnsweredRequest): readonly string[] => {
  const { modelName, promptTokens, outputTokens } = caller
  const size = `${sizeClassOf(promptTokens)}/${sizeClassOf(outputTokens)}`
  return [[route.name, modelName, size], [route.name, '', size], [route.name, modelName, ''], [route.name, '', '']].map(kind => JSON.stringify(kind))
}

/** Creates the meter of one router. */
export const createAnswerMeter = (): AnswerMeter => {
  // Ordered by the last answer of each kind.
  const timesOf = new Map<string, AnswerTimes>()

  const trim = (): void => {
    for (const kind of timesOf.keys()) {
      if (timesOf.size <= MAX_ANSWER_KINDS) return
      timesOf.delete(kind)
    }
  }

  /** The narrowest kind with enough answers, or else the widest one. */
  const findTimes = (kinds: readonly string[]): AnswerTimes => {
    for (const kind of kinds) {
      const times = timesOf.get(kind) ?? []
      if (times.length >= MIN_KIND_ANSWERS) return times
    }
    return timesOf.get(kinds.at(-1) ?? '') ?? []
  }

  return {
    note: (request, tookMs) => {
      for (const kind of kindsOf(request)) {
        const times = noteAnswerTime(timesOf.get(kind) ?? [], tookMs)
        timesOf.delete(kind)
        timesOf.set(kind, times)
      }
      trim()
    },
    expectedMs: request => expectAnswerMs(findTimes(kindsOf(request)))
  }
}
