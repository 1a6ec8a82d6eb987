import { findReplicaRights } from '@figmount/records'

import { RouterEvent } from '../events.js'
import { serveOnce } from '../once/serveOnce.js'
import { reasonName, runStateName } from './refusals.js'
import { serveRepeatable } from './serveRepeatable.js'

import type { EventFields } from '@figmount/base'
import type { RefusalNote } from '@figmount/peers'
import type { AnswerPart, FinalPart } from '../answers/types.js'
import type { AdmittedRequest, ServeContext } from './types.js'

/** Event fields that identify a request. */
export const requestFields = ({ run }: AdmittedRequest): EventFields => ({
  caller: run.caller,
  requestKey: run.requestKey,
  service: run.service,
  model: run.model,
  adapter: run.adapter,
  version: run.version,
  repeatable: run.repeatable
})

/** Records a refusal in events and metrics, for the timeline and `explain`. */
export const reportRefusal = (context: Pick<ServeContext, 'events' | 'metrics' | 'refusals' | 'timers'>, note: RefusalNote, fields: EventFields): void => {
  const reason = reasonName(note.reason)
  context.refusals.addRefused(context.timers.nowMs())
  context.metrics.count(`refusals_total{reason="${reason}"}`)
  context.events.emit(RouterEvent.requestRefused, {
    ...fields,
    runState: runStateName(note.runState),
    reason,
    retryAfterMs: note.retryAfterMs,
    detail: note.detail,
    step: note.step,
    peer: note.peer
  })
}

const reportAnswer = (context: ServeContext, admitted: AdmittedRequest, part: FinalPart, frameCount: number): void => {
  const nowMs = context.timers.nowMs()
  const durationMs = nowMs - admitted.receivedAtMs
  context.refusals.addServed(nowMs)
  context.estimates.observeTokens(admitted.run.model, part.tokenCount)
  context.metrics.observeMs('answer_ms', durationMs)
  context.events.emit(RouterEvent.requestAnswered, {
    ...requestFields(admitted), version: part.version, tokenCount: part.tokenCount, count: frameCount, durationMs
  })
}

const reportFirstToken = (context: ServeContext, admitted: AdmittedRequest, wasCold: boolean): void => {
  const tookMs = context.timers.nowMs() - admitted.receivedAtMs
  context.metrics.observeMs(wasCold ? 'first_token_cold_ms' : 'first_token_warm_ms', tookMs)
  if (wasCold) context.estimates.observeColdStart(admitted.run.model, tookMs)
}

const isLoaded = (context: ServeContext, { run }: AdmittedRequest): boolean =>
  run.plain !== undefined || findReplicaRights(context.records.state(), run.model).some(({ holder }) =>
    context.links.viewOf(holder)?.report?.models.some(entry => entry.model === run.model && entry.state === 'ready') ?? false)

/** Serves one request and records its outcome. The last part yielded is a `final` or a `refusal`. */
export const serveRequest = async function * (context: ServeContext, admitted: AdmittedRequest, signal: AbortSignal): AsyncGenerator<AnswerPart> {
  const wasCold = !isLoaded(context, admitted)
  let frameCount = 0
  let hasToken = false
  let isEnded = false
  context.events.emit(RouterEvent.requestReceived, { ...requestFields(admitted), count: admitted.run.resendCount })
  context.metrics.count('requests_total')
  const reportCallerLeft = (): void => {
    if (!isEnded) context.events.emit(RouterEvent.requestLeft, requestFields(admitted))
    isEnded = true
  }
  signal.addEventListener('abort', reportCallerLeft, { once: true })
  try {
    const parts = admitted.run.repeatable ? serveRepeatable(context, admitted, signal) : serveOnce(context, admitted, signal)
    for await (const part of parts) {
      frameCount += 1
      if (part.kind === 'tokens' && !hasToken) {
        hasToken = true
        reportFirstToken(context, admitted, wasCold)
      }
      if (part.kind === 'refusal') reportRefusal(context, part.note, requestFields(admitted))
      if (part.kind === 'final') reportAnswer(context, admitted, part, frameCount)
      isEnded ||= part.kind === 'refusal' || part.kind === 'final'
      yield part
    }
  } finally {
    signal.removeEventListener('abort', reportCallerLeft)
  }
}
