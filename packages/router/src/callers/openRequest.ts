import { RefusalReason } from '@figmount/schema'

import { DEFAULT_RETRY_AFTER_MS } from '../requests/constants.js'
import { chooseRetryAfterMs } from '../requests/chooseRetryAfterMs.js'
import { notRun, correctRunState } from '../requests/refusals.js'
import { reportRefusal, serveRequest } from '../requests/serveRequest.js'
import { STOPPING_RETRY_MS } from './constants.js'

import type { Either } from 'purify-ts'
import type { CallerName, EventFields } from '@figmount/base'
import type { RefusalNote } from '@figmount/peers'
import type { AnswerPart } from '../answers/types.js'
import type { AdmittedRequest, ServeContext } from '../requests/types.js'
import type { Gate, GateVerdict } from './createGate.js'

interface OpenOptions {
  readonly context: ServeContext
  readonly gate: Gate
  /** Authenticates and validates the request; called only after the gate has admitted it. */
  readonly admit: () => Either<RefusalNote, AdmittedRequest> | Promise<Either<RefusalNote, AdmittedRequest>>
  /** Event fields that are available before the request is validated. */
  readonly fields: EventFields
  readonly resendCount: number
  readonly signal: AbortSignal
}

const gateRefusal = (context: ServeContext, verdict: Exclude<GateVerdict, 'admitted'>, resendCount: number): RefusalNote =>
  verdict === 'closed'
    ? notRun({ reason: RefusalReason.STOPPING, detail: 'this router is stopping', step: 'callers.enter', retryAfterMs: STOPPING_RETRY_MS })
    : notRun({
      reason: RefusalReason.OVERLOADED,
      detail: 'this router serves as many requests as it can hold',
      step: 'callers.enter',
      retryAfterMs: chooseRetryAfterMs(context, DEFAULT_RETRY_AFTER_MS, resendCount)
    })

const notReadyRefusal = (): RefusalNote => notRun({
  reason: RefusalReason.LOG_UNREACHABLE,
  detail: 'this router has not read the configuration yet',
  step: 'callers.enter',
  peer: 'log',
  retryAfterMs: DEFAULT_RETRY_AFTER_MS
})

const shareRefusal = (context: ServeContext, resendCount: number): RefusalNote => notRun({
  reason: RefusalReason.RATE_LIMITED,
  detail: 'the caller holds its share of this router\'s places',
  step: 'callers.share',
  retryAfterMs: chooseRetryAfterMs(context, DEFAULT_RETRY_AFTER_MS, resendCount)
})

const refuse = ({ context, fields, resendCount }: OpenOptions, note: RefusalNote): AnswerPart => {
  const corrected = correctRunState(note, resendCount)
  reportRefusal(context, corrected, fields)
  return { kind: 'refusal', note: corrected }
}

/** Admits, validates and serves an incoming request. The answer always ends with a `final` or a `refusal`. */
export const openRequest = async function * (options: OpenOptions): AsyncGenerator<AnswerPart> {
  const { context, gate, admit, signal } = options
  const verdict = gate.enter()
  if (verdict !== 'admitted') return yield refuse(options, gateRefusal(context, verdict, options.resendCount))
  let hasLeft = false
  let sharingCaller: CallerName | undefined
  const leave = (): void => {
    if (hasLeft) return
    hasLeft = true
    gate.leave()
    if (sharingCaller !== undefined) context.shares.leave(sharingCaller)
  }
  signal.addEventListener('abort', leave, { once: true })
  try {
    if (!context.records.isReady()) return yield refuse(options, notReadyRefusal())
    const admitted = await admit()
    if (admitted.isLeft()) return yield refuse(options, admitted.swap().unsafeCoerce())
    const request = admitted.unsafeCoerce()
    const { caller, share } = request.run
    if (!context.shares.enter(caller, share)) return yield refuse(options, shareRefusal(context, options.resendCount))
    sharingCaller = caller
    yield * serveRequest(context, request, signal)
  } finally {
    signal.removeEventListener('abort', leave)
    leave()
  }
}
