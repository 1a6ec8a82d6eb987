import type { InstanceName, LogOffset } from '@figmount/base'

/** What a router knows of one slot of the wanted model when it chooses where to send a request. */
export interface RoutingCandidate {
  readonly instance: InstanceName
  readonly slotIndex: number
  readonly fence: LogOffset
  readonly state: 'cold' | 'disk' | 'memory' | 'loading' | 'ready' | 'unloading'
  /** Expected time until the model is ready there; 0 when it is. */
  readonly readyInMs: number
  /** Work running there, and queued at the request's priority and above where that is reported, in seconds. */
  readonly queuedSeconds: number
  /** Own sends since that report was made, in seconds of expected work. */
  readonly unreportedSeconds: number
  readonly reportAgeMs: number
  readonly batchSize: number
  /** Smoothed time between tokens of one stream, a sign of a slow backend server. */
  readonly tokenIntervalMs: number
  readonly hasAdapter: boolean
  /** True when the prompt prefix is believed to be cached there. */
  readonly hasPrefix: boolean
  readonly sameDataCentre: boolean
  /** Age of the last token that `tokenIntervalMs` was measured on; `reportAgeMs` when left out. */
  readonly tokenIntervalAgeMs?: number
}

/** The request as far as routing needs it. */
export interface RoutingRequest {
  readonly remainingMs: number
  readonly expectedTokens: number
  readonly priority: number
  /** Load cost and time that a cold slot would need. */
  readonly coldStartMs: number
  /** Prefill time that a cached prefix saves. */
  readonly prefixSavingMs?: number
  /** Time that loading the adapter takes; 0 when the request wants none. */
  readonly adapterLoadMs?: number
}

export type RoutingChoice =
  | { readonly kind: 'send', readonly candidate: RoutingCandidate, readonly estimatedWaitMs: number }
  /** No candidate can serve it in time; `estimatedWaitMs` is the best that was found. */
  | { readonly kind: 'none', readonly estimatedWaitMs: number }

/** Picks a backend server. `random` yields numbers in [0, 1). */
export type ChooseBackend = (request: RoutingRequest, candidates: readonly RoutingCandidate[], random: () => number) => RoutingChoice
