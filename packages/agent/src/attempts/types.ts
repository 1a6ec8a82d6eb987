import type { AttemptId } from '@figmount/base'
import type { AgentToRouterMessage, PlainAnswer, RefusalNote, RunRequest } from '@figmount/peers'
import type { FinishReason, WaitState } from '@figmount/schema'

/** A numbered message of an attempt, kept until acknowledged. */
export type Frame = Extract<AgentToRouterMessage, { readonly type: 'tokens' | 'final' }>

/** What an agent says about one attempt. */
export type AttemptMessage = Extract<AgentToRouterMessage, { readonly type: 'progress' | 'tokens' | 'final' | 'refused' }>

/** Somebody that an attempt's messages go to, under the attempt id that it asked with. */
export interface Subscriber {
  readonly send: (message: AgentToRouterMessage) => void
  readonly isOpen: () => boolean
}

export type AttemptPhase = 'waiting' | 'running' | 'finished' | 'refused'

/** One run of one request. Mutable only inside the attempt store. */
export interface Attempt {
  readonly id: AttemptId
  readonly request: RunRequest
  readonly arrivedAtMs: number
  readonly deadlineAtMs: number
  /** Until when its frames are kept, monotonic ms. */
  readonly keepUntilMs: number
  readonly phase: AttemptPhase
  /** True from the moment a byte may have left for the backend server. */
  readonly reached: boolean
  readonly tokenCount: number
  readonly refusal?: RefusalNote
  /** Version that answers. */
  readonly version: string
  readonly startedAtMs: number
}

/** State of an attempt as told to routers while it waits. */
export interface Progress {
  readonly state: WaitState
  readonly estimatedWaitMs: number
}

/** What names a request that may not be repeated. */
export type KeyOfRequest = Pick<RunRequest, 'caller' | 'requestKey' | 'model' | 'service'>

/** The attempts of this agent and the frames that it keeps of them. */
export interface AttemptStore {
  readonly add: (id: AttemptId, request: RunRequest) => Attempt
  readonly get: (id: AttemptId) => Attempt | undefined
  readonly all: () => Iterable<Attempt>
  readonly count: () => number
  /** Sends what is kept from `fromFrame` on and all that follows. False when frames below are gone already. */
  readonly subscribe: (id: AttemptId, asId: AttemptId, subscriber: Subscriber, fromFrame: number) => boolean
  readonly unsubscribeAll: (subscriber: Subscriber) => void
  /** Ends one router's interest; true when nobody is left. */
  readonly unsubscribe: (asId: AttemptId, subscriber: Subscriber) => boolean
  readonly resolve: (asId: AttemptId) => AttemptId | undefined
  /** The attempt that runs or ran a key that may not be repeated; none when it turned out not to have run. */
  readonly findByKey: (request: KeyOfRequest) => AttemptId | undefined
  /** Frames are dropped when every listener has them; those of a request that may not be repeated stay for resends of its key. */
  readonly acknowledge: (asId: AttemptId, belowFrame: number, subscriber: Subscriber) => void
  readonly start: (id: AttemptId, version: string) => void
  readonly markReached: (id: AttemptId) => void
  readonly addTokens: (id: AttemptId, firstTokenIndex: number, tokens: readonly string[]) => void
  readonly finish: (id: AttemptId, finishReason: FinishReason, plain?: PlainAnswer) => void
  readonly refuse: (id: AttemptId, refusal: RefusalNote) => void
  readonly tell: (id: AttemptId, progress: Progress) => void
  readonly orphanedForMs: (id: AttemptId) => number
  /** Forgets what is past its time, and the oldest kept answers beyond the bound. */
  readonly sweep: () => void
  /** True when every finished attempt has been acknowledged or nobody listens. */
  readonly isDelivered: () => boolean
  readonly keptBytes: () => number
}
