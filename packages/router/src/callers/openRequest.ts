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
  /** Checks who asks for what; not run before the gate lets the request in. */
  readonly admit: () => Either<RefusalNote, AdmittedRequest> | Promise<Either<RefusalNote, AdmittedRequest>>
  /** What is known of the request before it is checked. */
  readonly fields: EventFields
  readonly resendCount: number
  readonly signal: AbortSignal
}

const turnedAway = (context: ServeContext, verdict: Exclude<GateVerdict, 'admitted'>, resendCount: number): RefusalNote =>
  verdict === 'closed'
    ? notRun({ reason: RefusalReason.STOPPING, detail: 'this router is stopping', step: 'callers.enter', retryAfterMs: STOPPING_RETRY_MS })
    : notRun({
      reason: RefusalReason.OVERLOADED,
      detail: 'this router serves as many requests as it can hold',
      step: 'callers.enter',
      retryAfterMs: chooseRetryAfterMs(context, DEFAULT_RETRY_AFTER_MS, resendCount)
    })

const notReady = (): RefusalNote => notRun({
  reason: RefusalReason.LOG_UNREACHABLE,
  detail: 'this router has not read the configuration yet',
  step: 'callers.enter',
  peer: 'log',
  retryAfterMs: DEFAULT_RETRY_AFTER_MS
})

const shareHeld = (context: ServeContext, resendCount: number): RefusalNote => notRun({
  reason: RefusalReason.RATE_LIMITED,
  detail: 'the caller holds its share of this router\'s places',
  step: 'callers.share',
  retryAfterMs: chooseRetryAfterMs(context, DEFAULT_RETRY_AFTER_MS, resendCount)
})

const refuse = ({ context, fields, resendCount }: OpenOptions, note: RefusalNote): AnswerPart => {
  const told = correctRunState(note, resendCount)
  reportRefusal(context, told, fields)
  return { kind: 'refusal', note: told }
}

/** Takes a request in from outside: through the gate, checked, served. Every way out ends in a `final` or a `refusal`. */
export const openRequest = async function * (options: OpenOptions): AsyncGenerator<AnswerPart> {
  const { context, gate, admit, signal } = options
  const verdict = gate.enter()
  if (verdict !== 'admitted') return yield refuse(options, turnedAway(context, verdict, options.resendCount))
  let hasLeft = false
  let holder: CallerName | undefined
  const leave = (): void => {
    if (hasLeft) return
    hasLeft = true
    gate.leave()
    if (holder !== undefined) context.shares.leave(holder)
  }
  signal.addEventListener('abort', leave, { once: true })
  try {
    if (!context.records.isReady()) return yield refuse(options, notReady())
    const admitted = await admit()
    if (admitted.isLeft()) return yield refuse(options, admitted.swap().unsafeCoerce())
    const request = admitted.unsafeCoerce()
    const { caller, share } = request.run
    if (!context.shares.enter(caller, share)) return yield refuse(options, shareHeld(context, options.resendCount))
    holder = caller
    yield * serveRequest(context, request, signal)
  } finally {
    signal.removeEventListener('abort', leave)
    leave()
  }
}
