import { SpanKind } from './types.js'

import type { EventRecord } from '@figmount/base'
import type { SpanEnd } from './types.js'

/** How a start event and an end event of one process are joined into a span. */
export interface SpanRule {
  readonly kind: SpanKind
  readonly startEvent: string
  readonly endEvents: Readonly<Record<string, SpanEnd>>
  /** If set, a start event for which it returns false starts no span. */
  readonly isStart?: (event: EventRecord) => boolean
  /** Start and end events with the same key belong together. */
  readonly key: (event: EventRecord) => string
  readonly label: (event: EventRecord) => string
}

const requestId = (event: EventRecord): string => `${event.caller ?? ''}/${event.requestKey ?? ''}`
const modelId = (event: EventRecord): string => event.model ?? ''
const instanceId = (event: EventRecord): string => event.instance

/** Events that end a request on the HTTP path. */
const REQUEST_ENDS: Readonly<Record<string, SpanEnd>> = {
  requestAnswered: 'good',
  requestRefused: 'refused',
  requestFailed: 'failed',
  requestLeft: 'failed'
}

/** Rules in the order in which their spans are drawn. */
export const SPAN_RULES: readonly SpanRule[] = [
  {
    kind: SpanKind.Request,
    startEvent: 'requestReceived',
    endEvents: { requestAnswered: 'good', requestRefused: 'refused', requestLeft: 'failed' },
    key: requestId,
    label: event => event.requestKey ?? ''
  },
  {
    kind: SpanKind.Request,
    startEvent: 'requestTaken',
    endEvents: REQUEST_ENDS,
    key: requestId,
    label: event => event.requestKey ?? ''
  },
  {
    kind: SpanKind.Load,
    startEvent: 'modelAwaited',
    endEvents: { ...REQUEST_ENDS, requestSent: 'good' },
    key: requestId,
    label: event => `wait for ${modelId(event)}`
  },
  {
    kind: SpanKind.Run,
    startEvent: 'requestSent',
    isStart: event => event.attemptId === undefined,
    endEvents: { ...REQUEST_ENDS, requestRepeated: 'failed', streamResumed: 'failed' },
    key: requestId,
    label: event => `${event.requestKey ?? ''} at ${event.peer ?? ''}`
  },
  {
    kind: SpanKind.Load,
    startEvent: 'loadOrdered',
    endEvents: { loadReady: 'good', loadFailed: 'failed' },
    key: modelId,
    label: event => `load ${modelId(event)}`
  },
  {
    kind: SpanKind.Resident,
    startEvent: 'loadReady',
    endEvents: { unloadConfirmed: 'good' },
    key: modelId,
    label: event => modelId(event)
  },
  {
    kind: SpanKind.Run,
    startEvent: 'engineRunStarted',
    endEvents: { attemptFinished: 'good', attemptRefused: 'refused', attemptInterrupted: 'failed' },
    key: event => event.attemptId ?? '',
    label: event => event.requestKey ?? event.attemptId ?? ''
  },
  {
    kind: SpanKind.Drain,
    startEvent: 'processStopping',
    endEvents: { processStopped: 'good' },
    key: instanceId,
    label: () => 'stopping'
  }
]

/** Events that are drawn as marks; severe ones in red. */
export const MARKED_EVENTS: Readonly<Record<string, { readonly isSevere: boolean }>> = {
  processStarted: { isSevere: false },
  processStopped: { isSevere: false },
  configAccepted: { isSevere: false },
  engineStarted: { isSevere: false },
  engineDied: { isSevere: true },
  poisonRun: { isSevere: true },
  suspectsReported: { isSevere: true },
  attemptRestarted: { isSevere: true },
  attemptResumed: { isSevere: false },
  agentUnreachable: { isSevere: true },
  authorityLost: { isSevere: true },
  authorityRegained: { isSevere: false },
  engineDown: { isSevere: true },
  agentLost: { isSevere: true },
  serverLeft: { isSevere: false },
  feedLost: { isSevere: true },
  feedRegained: { isSevere: false },
  streamResumed: { isSevere: false },
  requestsUnanswered: { isSevere: true }
}
