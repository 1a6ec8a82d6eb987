import { randomUUID } from 'node:crypto'
import { createCaller } from '@figmount/client'
import { RefusalReason } from '@figmount/schema'

import { LoadEvent } from '../events.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { Caller, CallOutcome as LibraryOutcome } from '@figmount/client'
import type { PlannedRequest } from '../arrivals/types.js'
import type { Experiment } from '../experiment/types.js'
import type { CallOutcome, SendRequest } from './types.js'

/** Returns true if the tokens are the correct answer to the request. */
export type CheckTokens = (request: PlannedRequest, version: string, tokens: readonly string[]) => boolean

interface Options {
  readonly experiment: Experiment
  readonly addresses: readonly string[]
  readonly timers: TimerService
  readonly events: EventLog
  readonly random: () => number
  readonly checkTokens: CheckTokens
}

/** Details of a call that its outcome lacks, taken from the library's events. */
interface CallTrace {
  readonly refusals: readonly string[]
}

const reasonOf = (outcome: LibraryOutcome): string => {
  switch (outcome.kind) {
    case 'answered': return ''
    case 'refused': return RefusalReason[outcome.refusal.reason] ?? 'unknown'
    case 'givenUp': return outcome.lastMistake
    default: return outcome satisfies never
  }
}

const toCallOutcome = (libraryOutcome: LibraryOutcome, trace: CallTrace, isCorrect: boolean): CallOutcome => {
  const common = { totalMs: libraryOutcome.totalMs, resendCount: libraryOutcome.sendCount - 1, refusals: trace.refusals, detail: reasonOf(libraryOutcome) }
  if (libraryOutcome.kind === 'answered') {
    return { ...common, kind: isCorrect ? 'answered' : 'broken', firstTokenMs: libraryOutcome.firstTokenMs, tokenCount: libraryOutcome.tokens.length, longestGapMs: libraryOutcome.longestGapMs }
  }
  const kind = libraryOutcome.kind === 'refused' ? 'refused' : 'unserved'
  return { ...common, kind, firstTokenMs: undefined, tokenCount: 0, longestGapMs: 0 }
}

/** Creates the function that sends planned requests through the callers' library, with one caller for each traffic section. */
export const createSender = (options: Options): SendRequest => {
  const { experiment, addresses, timers, events, random, checkTokens } = options
  const refusalsByKey = new Map<string, string[]>()
  events.subscribe(event => {
    if (event.name === 'refusalHeard') refusalsByKey.get(event.requestKey ?? '')?.push(event.reason ?? '')
  })

  const callers = new Map<string, Caller>()
  for (const traffic of experiment.traffic) {
    const key = experiment.callers.find(caller => caller.name === traffic.caller)?.key ?? ''
    callers.set(traffic.name, createCaller({ addresses, key, timers, events, random, patienceMs: traffic.patienceMs }))
  }

  return async request => {
    const { traffic } = request
    const requestKey = randomUUID()
    const refusals: string[] = []
    refusalsByKey.set(requestKey, refusals)
    const libraryOutcome = await callers.get(traffic.name)?.call({
      requestKey,
      service: traffic.service,
      model: request.model,
      adapter: request.adapter,
      prompt: request.prompt,
      prefixHint: request.prefixHint,
      maxTokens: traffic.maxTokens,
      deadlineMs: traffic.deadlineMs,
      repeatable: traffic.repeatable
    })
    refusalsByKey.delete(requestKey)
    if (!libraryOutcome) throw new Error(`traffic ${traffic.name} has no caller`)
    const isCorrect = libraryOutcome.kind !== 'answered' || checkTokens(request, libraryOutcome.final.version, libraryOutcome.tokens)
    if (!isCorrect) events.emit(LoadEvent.answerWrong, { caller: traffic.caller, requestKey, model: request.model })
    return toCallOutcome(libraryOutcome, { refusals }, isCorrect)
  }
}
