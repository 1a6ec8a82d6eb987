import type { InstanceName, LogOffset } from '@figmount/base'

/** A router's view of one slot: a place on an instance that holds, or may hold, a replica of the requested model. */
export interface RoutingCandidate {
  readonly instance: InstanceName
  readonly slotIndex: number
  readonly fence: LogOffset
  readonly state: 'cold' | 'disk' | 'memory' | 'loading' | 'ready' | 'unloading'
  /** Expected time until the model is ready there; 0 when it is. */
  readonly readyInMs: number
  /** Running work, and work queued at the request's priority and above if that is reported, in seconds. */
  readonly queuedSeconds: number
  /** Expected work of this router's own sends since that report, in seconds. */
  readonly unreportedSeconds: number
  readonly reportAgeMs: number
  readonly batchSize: number
  /** Smoothed time between the tokens of one stream; a high value indicates a slow backend server. */
  readonly tokenIntervalMs: number
  readonly hasAdapter: boolean
  /** The prompt prefix is probably cached there. */
  readonly hasPrefix: boolean
  readonly sameDataCentre: boolean
  /** Age of the last token that `tokenIntervalMs` was measured on; `reportAgeMs` when omitted. */
  readonly tokenIntervalAgeMs?: number
}

/** Properties of a request that routing depends on. */
export interface RoutingRequest {
  readonly remainingMs: number
  readonly expectedTokens: number
  readonly priority: number
  /** Time that a cold slot needs to become ready. */
  readonly coldStartMs: number
  /** Prefill time that a cached prefix saves. */
  readonly prefixSavingMs?: number
  /** Time to load the adapter; 0 when the request uses none. */
  readonly adapterLoadMs?: number
}

export type RoutingChoice =
  | { readonly kind: 'send', readonly candidate: RoutingCandidate, readonly estimatedWaitMs: number }
  /** No candidate can serve the request in time; `estimatedWaitMs` is the shortest wait that was found. */
  | { readonly kind: 'none', readonly estimatedWaitMs: number }

/** Chooses a backend server. `random` yields numbers in [0, 1). */
export type ChooseBackend = (request: RoutingRequest, candidates: readonly RoutingCandidate[], random: () => number) => RoutingChoice
