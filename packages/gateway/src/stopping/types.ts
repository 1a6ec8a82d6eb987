import type { Unsubscribe } from '@figmount/base'
import type { AnswerMeter } from './createAnswerMeter.js'

/** Progress of a router's stop. */
export interface Stop {
  /** True once a stop was requested. */
  readonly isAsked: () => boolean
  /** The router takes no new requests any more. */
  readonly isClosing: () => boolean
  /**
   * Time after which a request is not sent to a server any more; Infinity until a stop is requested. `answerMs` returns
   * the time within which its answer is expected to end, or 0 if that is not known.
   */
  readonly lastSendMs: (objectiveMs: number, answerMs?: () => number) => number
  /** The same for a request that has run already: failing it earlier would not help its caller. */
  readonly lastRetryMs: () => number
  /** How long answers take, measured before the stop as well. */
  readonly answers: AnswerMeter
  /** The stop has ended: requests that are still open get their final answer. */
  readonly isEnded: () => boolean
  /** Calls back when a stop is requested. */
  readonly onAsked: (listener: () => void) => Unsubscribe
  /** Calls back at the end of the stop. */
  readonly onEnded: (listener: () => void) => Unsubscribe
}

/** The router's own view of its stop, which also controls it. */
export interface RouterStop extends Stop {
  /** Requests the stop; a second call changes nothing. */
  readonly ask: () => void
  /** Time until the router takes no new requests. */
  readonly closingInMs: () => number
  /** Time until the end of the stop. */
  readonly endsInMs: () => number
  /** Ends the stop: calls the `onEnded` listeners, which have open requests answered. */
  readonly end: () => void
}
