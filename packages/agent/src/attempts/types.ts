import type { AttemptId } from '@figmount/base'
import type { AgentToRouterMessage, PlainAnswer, RefusalNote, RunRequest } from '@figmount/peers'
import type { FinishReason, WaitState } from '@figmount/schema'

/** A numbered message of an attempt, stored until it is acknowledged. */
export type Frame = Extract<AgentToRouterMessage, { readonly type: 'tokens' | 'final' }>

/** A message that an agent sends about one attempt. */
export type AttemptMessage = Extract<AgentToRouterMessage, { readonly type: 'progress' | 'tokens' | 'final' | 'refused' }>

/** A receiver of an attempt's messages, usually the link of a router. */
export interface Subscriber {
  readonly send: (message: AgentToRouterMessage) => void
  readonly isOpen: () => boolean
}

/** `finished`: the answer is complete. `refused`: the attempt ended without a complete answer, or its stored answer was dropped. */
export type AttemptPhase = 'waiting' | 'running' | 'finished' | 'refused'

/** One run of one request. Only the attempt store changes it. */
export interface Attempt {
  readonly id: AttemptId
  readonly request: RunRequest
  readonly arrivedAtMs: number
  readonly deadlineAtMs: number
  /** Monotonic ms until which its frames are stored. */
  readonly keepUntilMs: number
  readonly phase: AttemptPhase
  /** True once a byte may have been sent to the backend server. */
  readonly isSent: boolean
  readonly tokenCount: number
  readonly refusal?: RefusalNote
  /** Model version that produces the answer. */
  readonly version: string
  readonly startedAtMs: number
}

/** State of a waiting attempt as sent to routers. */
export interface Progress {
  readonly state: WaitState
  readonly estimatedWaitMs: number
}

/** The fields that identify a non-repeatable request. */
export type KeyOfRequest = Pick<RunRequest, 'caller' | 'requestKey' | 'model' | 'service'>

/** The attempts of this agent and their stored frames. */
export interface AttemptStore {
  readonly add: (id: AttemptId, request: RunRequest) => Attempt
  readonly get: (id: AttemptId) => Attempt | undefined
  readonly all: () => Iterable<Attempt>
  readonly count: () => number
  /** Sends the stored frames from `fromFrame` on and all later messages. Returns false if earlier frames were already dropped. */
  readonly subscribe: (id: AttemptId, asId: AttemptId, subscriber: Subscriber, fromFrame: number) => boolean
  readonly unsubscribeAll: (subscriber: Subscriber) => void
  /** Ends one router's subscription; returns true if no subscriber is left. */
  readonly unsubscribe: (asId: AttemptId, subscriber: Subscriber) => boolean
  readonly resolve: (asId: AttemptId) => AttemptId | undefined
  /** The attempt that a non-repeatable request's key belongs to; undefined if that attempt turned out not to have run. */
  readonly findByKey: (request: KeyOfRequest) => AttemptId | undefined
  /** Drops frames that every listener has acknowledged; those of a non-repeatable request are stored for resends of its key. */
  readonly acknowledge: (asId: AttemptId, belowFrame: number, subscriber: Subscriber) => void
  readonly start: (id: AttemptId, version: string) => void
  readonly markSent: (id: AttemptId) => void
  readonly addTokens: (id: AttemptId, firstTokenIndex: number, tokens: readonly string[]) => void
  readonly finish: (id: AttemptId, finishReason: FinishReason, plain?: PlainAnswer) => void
  readonly refuse: (id: AttemptId, refusal: RefusalNote) => void
  readonly sendProgress: (id: AttemptId, progress: Progress) => void
  readonly orphanedForMs: (id: AttemptId) => number
  /** Removes expired attempts, and the oldest stored answers beyond the memory bound. */
  readonly sweep: () => void
  /** True when every attempt has ended and each finished one is acknowledged or has no subscriber. */
  readonly isDelivered: () => boolean
  readonly keptBytes: () => number
}
