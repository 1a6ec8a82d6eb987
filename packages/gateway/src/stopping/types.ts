import type { Unsubscribe } from '@figmount/base'

/** How far a router's stop has come. */
export interface Stop {
  readonly isAsked: () => boolean
  /** No new requests are taken any more. */
  readonly isClosing: () => boolean
  /** Time after which a request with this objective is not sent to a server any more; Infinity while no stop was asked for. */
  readonly lastSendMs: (objectiveMs: number) => number
  /** The same for one that has run already: to give it up early saves its caller nothing. */
  readonly lastRetryMs: () => number
  /** The end has come: requests that are still open get their final answer. */
  readonly isEnded: () => boolean
  /** Calls back when a stop is asked for. */
  readonly onAsked: (listener: () => void) => Unsubscribe
  /** Calls back at the stop's end. */
  readonly onEnded: (listener: () => void) => Unsubscribe
}

/** The same for the router itself, which makes the stop go on. */
export interface RouterStop extends Stop {
  readonly ask: () => void
  /** Time until no new requests are taken. */
  readonly closingInMs: () => number
  /** Time until the stop's end. */
  readonly endsInMs: () => number
  readonly end: () => void
}
