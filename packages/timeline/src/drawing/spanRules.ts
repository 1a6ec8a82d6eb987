import { SpanKind } from './types.js'

import type { EventRecord } from '@figmount/base'
import type { SpanEnd } from './types.js'

/** How two events of one process become a span. */
export interface SpanRule {
  readonly kind: SpanKind
  readonly opens: string
  readonly closes: Readonly<Record<string, SpanEnd>>
  /** Events of this name that open no such span are left out. */
  readonly isOpenedBy?: (event: EventRecord) => boolean
  /** Joins the closing event to the opening one. */
  readonly key: (event: EventRecord) => string
  readonly label: (event: EventRecord) => string
}

const requestId = (event: EventRecord): string => `${event.caller ?? ''}/${event.requestKey ?? ''}`
const modelId = (event: EventRecord): string => event.model ?? ''
const instanceId = (event: EventRecord): string => event.instance

/** Ends of a request on the HTTP path. */
const REQUEST_ENDS: Readonly<Record<string, SpanEnd>> = {
  requestAnswered: 'good',
  requestRefused: 'refused',
  requestFailed: 'failed',
  requestLeft: 'failed'
}

/** Spans in the order in which they are stacked on a lane. */
export const SPAN_RULES: readonly SpanRule[] = [
  {
    kind: SpanKind.Request,
    opens: 'requestReceived',
    closes: { requestAnswered: 'good', requestRefused: 'refused', requestLeft: 'failed' },
    key: requestId,
    label: event => event.requestKey ?? ''
  },
  {
    kind: SpanKind.Request,
    opens: 'requestTaken',
    closes: REQUEST_ENDS,
    key: requestId,
    label: event => event.requestKey ?? ''
  },
  {
    kind: SpanKind.Load,
    opens: 'modelAwaited',
    closes: { ...REQUEST_ENDS, requestSent: 'good' },
    key: requestId,
    label: event => `wait for ${modelId(event)}`
  },
  {
    kind: SpanKind.Run,
    opens: 'requestSent',
    isOpenedBy: event => event.attemptId === undefined,
    closes: { ...REQUEST_ENDS, requestRepeated: 'failed', streamResumed: 'failed' },
    key: requestId,
    label: event => `${event.requestKey ?? ''} at ${event.peer ?? ''}`
  },
  {
    kind: SpanKind.Load,
    opens: 'loadOrdered',
    closes: { loadReady: 'good', loadFailed: 'failed' },
    key: modelId,
    label: event => `load ${modelId(event)}`
  },
  {
    kind: SpanKind.Resident,
    opens: 'loadReady',
    closes: { unloadConfirmed: 'good' },
    key: modelId,
    label: event => modelId(event)
  },
  {
    kind: SpanKind.Run,
    opens: 'engineRunStarted',
    closes: { attemptFinished: 'good', attemptRefused: 'refused', attemptInterrupted: 'failed' },
    key: event => event.attemptId ?? '',
    label: event => event.requestKey ?? event.attemptId ?? ''
  },
  {
    kind: SpanKind.Drain,
    opens: 'processStopping',
    closes: { processStopped: 'good' },
    key: instanceId,
    label: () => 'stopping'
  }
]

/** Events that are shown as marks; severe ones in red. */
export const MARK_NAMES: Readonly<Record<string, { readonly severe: boolean }>> = {
  processStarted: { severe: false },
  processStopped: { severe: false },
  configAccepted: { severe: false },
  engineStarted: { severe: false },
  engineDied: { severe: true },
  poisonRun: { severe: true },
  suspectsReported: { severe: true },
  attemptRestarted: { severe: true },
  attemptResumed: { severe: false },
  agentUnreachable: { severe: true },
  authorityLost: { severe: true },
  authorityRegained: { severe: false },
  engineDown: { severe: true },
  agentLost: { severe: true },
  serverLeft: { severe: false },
  feedLost: { severe: true },
  feedRegained: { severe: false },
  streamResumed: { severe: false },
  requestsUnanswered: { severe: true }
}
