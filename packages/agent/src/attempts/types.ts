import type { AttemptId } from '@figmount/base'
import type { FromAgent, RefusalNote, RunRequest } from '@figmount/peers'
import type { WaitState } from '@figmount/schema'

/** A numbered message of an attempt, kept until acknowledged. */
export type Frame = Extract<FromAgent, { readonly type: 'tokens' | 'final' }>

/** Somebody that an attempt's messages go to, under the attempt id that it asked with. */
export interface Subscriber {
  readonly send: (message: FromAgent) => void
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
