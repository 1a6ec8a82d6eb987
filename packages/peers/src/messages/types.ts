import type { AttemptId, CallerName, DataCentre, Incarnation, InstanceName, LogOffset, ModelId, RequestKey, ServiceName } from '@figmount/base'
import type { RawRecord } from '@figmount/records'
import type { FinishReason, RefusalReason, RunState, WaitState } from '@figmount/schema'

/** Envelope of every message between figmount's processes. */
export interface Envelope<Body> {
  /** The sender's next log offset: a receiver with a lower one asks for the missing records. */
  readonly offset: LogOffset
  /** The sender's Lamport clock, by which the timeline orders events. */
  readonly clock: number
  readonly body: Body
}

/** A request as sent by a router to an agent. */
export interface RunRequest {
  readonly caller: CallerName
  readonly tenant: string
  readonly requestKey: RequestKey
  readonly issuedAtMs: number
  readonly resendCount: number
  readonly repeatable: boolean
  readonly model: ModelId
  readonly service: ServiceName
  readonly adapter: string
  readonly version: string
  readonly prefixHint: string
  readonly prompt: string
  readonly maxTokens: number
  /** Requests with a higher priority run first. */
  readonly priority: number
  /** The caller's share for fair queueing. */
  readonly share: number
  /** Time until the deadline, when sent; the receiver counts it down on its own monotonic clock. */
  readonly remainingMs: number
  /** Hash of the request's content without its key. Identifies a request that crashes engines. */
  readonly fingerprint: string
  /** The request is suspected of crashing engines because of earlier crashes: it runs alone. */
  readonly suspect: boolean
  /** Tokens that the caller has already received from an attempt on another instance. */
  readonly doneTokens: readonly string[]
  /** An HTTP call to forward unchanged, for plain services. */
  readonly plain?: PlainCall
}

export interface PlainCall {
  readonly method: string
  readonly path: string
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
}

export interface PlainAnswer {
  readonly status: number
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
}

/** The reason for a refusal, with the values of the callers' schema. */
export interface RefusalNote {
  readonly runState: RunState
  readonly reason: RefusalReason
  readonly retryAfterMs: number
  readonly detail: string
  readonly step: string
  readonly peer: string
}

/**
 * Permission to start one attempt, bound to one run of its executor. It is granted by the holder of the `keys` right, the instance
 * that records which request keys are running or have run.
 */
export interface Permit {
  readonly caller: CallerName
  readonly requestKey: RequestKey
  readonly attemptId: AttemptId
  readonly executor: InstanceName
  /** The executor's run for which the permit is valid; empty when the requester did not have it. */
  readonly executorIncarnation: Incarnation
  readonly keysHolder: InstanceName
  readonly keysFence: LogOffset
}

/** Messages from a router to an agent. */
export type RouterToAgentMessage =
  | { readonly type: 'hello', readonly instance: InstanceName, readonly incarnation: Incarnation, readonly role: 'router' | 'agent' }
  | { readonly type: 'heartbeat', readonly sentAtMs: number }
  | { readonly type: 'start', readonly attemptId: AttemptId, readonly request: RunRequest, readonly permit?: Permit }
  /** Requests an attempt's frames from a number on, after a broken connection or to join a running attempt. */
  | { readonly type: 'resume', readonly attemptId: AttemptId, readonly fromFrame: number }
  /** Frames below `belowFrame` have reached the caller. */
  | { readonly type: 'ack', readonly attemptId: AttemptId, readonly belowFrame: number }
  | { readonly type: 'cancel', readonly attemptId: AttemptId }
  /** Asks the holder of the `keys` right whether a request may start on `executor`. */
  | { readonly type: 'permit.ask', readonly askId: number, readonly attemptId: AttemptId, readonly executor: InstanceName, readonly executorIncarnation: Incarnation, readonly request: Omit<RunRequest, 'prompt' | 'doneTokens' | 'plain'> }
  /** The executor of a permitted attempt has refused it without running it: its key may be given to another attempt. */
  | { readonly type: 'permit.withdraw', readonly target: ModelId, readonly caller: CallerName, readonly requestKey: RequestKey, readonly attemptId: AttemptId }
  | { readonly type: 'records', readonly records: readonly RawRecord[] }
  | { readonly type: 'records.ask', readonly fromOffset: LogOffset }
  /** Reports requests suspected of crashing engines before the log delivers the same suspicion. */
  | { readonly type: 'suspect', readonly fingerprints: readonly string[], readonly deathId: string, readonly instance: InstanceName }

/** Messages from an agent to a router. */
export type AgentToRouterMessage =
  | { readonly type: 'welcome', readonly instance: InstanceName, readonly incarnation: Incarnation, readonly dataCentre: DataCentre, readonly report: AgentReport }
  /** Has no report if nothing has changed since the last one on this link. */
  | { readonly type: 'heartbeat.ack', readonly sentAtMs: number, readonly report?: AgentReport }
  /** The request is queued, loading or running; sent on every change, and once a second while it waits. */
  | { readonly type: 'progress', readonly attemptId: AttemptId, readonly state: WaitState, readonly estimatedWaitMs: number }
  | { readonly type: 'tokens', readonly attemptId: AttemptId, readonly frame: number, readonly firstTokenIndex: number, readonly tokens: readonly string[] }
  | { readonly type: 'final', readonly attemptId: AttemptId, readonly frame: number, readonly tokenCount: number, readonly finishReason: FinishReason, readonly version: string, readonly plain?: PlainAnswer }
  | { readonly type: 'refused', readonly attemptId: AttemptId, readonly refusal: RefusalNote }
  /** The agent has never received this attempt, or has discarded it. */
  | { readonly type: 'unknown', readonly attemptId: AttemptId, readonly incarnation: Incarnation }
  | { readonly type: 'permit.reply', readonly askId: number, readonly reply: PermitReply }
  | { readonly type: 'records', readonly records: readonly RawRecord[] }
  | { readonly type: 'records.ask', readonly fromOffset: LogOffset }
  | { readonly type: 'suspect', readonly fingerprints: readonly string[], readonly deathId: string, readonly instance: InstanceName }
  /** The instance accepts no new work from now on; running work finishes. */
  | { readonly type: 'leaving', readonly instance: InstanceName }

export type PermitReply =
  | { readonly kind: 'granted', readonly permit: Permit }
  /** The key is running or has run elsewhere; the requester joins that attempt. */
  | { readonly kind: 'known', readonly attemptId: AttemptId, readonly executor: InstanceName }
  | { readonly kind: 'refused', readonly refusal: RefusalNote }

/** An agent's load, sent with every heartbeat acknowledgement: all input for the choice of a backend server. */
export interface AgentReport {
  /** Increases with each report, so that an older report is not taken for a newer one. */
  readonly sequence: number
  readonly draining: boolean
  readonly runningCount: number
  readonly queuedCount: number
  readonly batchSize: number
  /** Queued and running work, in seconds at the current speed. */
  readonly queuedSeconds: number
  /** Smoothed time between two tokens of a stream. */
  readonly tokenIntervalMs: number
  readonly memoryCapacityMb: number
  readonly memoryUsedMb: number
  readonly models: readonly ModelReport[]
  /** True when `models` contains only models that changed since the last report on this link. */
  readonly partial?: boolean
  /** In a partial report: models of earlier reports that are no longer held. */
  readonly goneModels?: readonly ModelId[]
}

export interface ModelReport {
  readonly model: ModelId
  readonly slotIndex: number
  readonly fence: LogOffset
  readonly state: 'cold' | 'disk' | 'memory' | 'loading' | 'ready' | 'unloading'
  readonly version: string
  readonly adapters: readonly string[]
  readonly queuedCount: number
  readonly runningCount: number
  /** Estimated time until the model is ready; 0 when it is. */
  readonly readyInMs: number
}

/** Messages between routers. */
export type RouterToRouterMessage =
  | { readonly type: 'hello', readonly instance: InstanceName, readonly incarnation: Incarnation, readonly role: 'router' }
  | { readonly type: 'heartbeat', readonly sentAtMs: number, readonly digest: RouterDigest }
  | { readonly type: 'heartbeat.ack', readonly sentAtMs: number, readonly digest: RouterDigest }
  | { readonly type: 'records', readonly records: readonly RawRecord[] }
  | { readonly type: 'records.ask', readonly fromOffset: LogOffset }
  | { readonly type: 'suspect', readonly fingerprints: readonly string[], readonly deathId: string, readonly instance: InstanceName }
  | { readonly type: 'leaving', readonly instance: InstanceName }

/** Log offsets applied by a router and by the agents linked to it. */
export interface RouterDigest {
  readonly instance: InstanceName
  readonly appliedOffset: LogOffset
  readonly agents: ReadonlyArray<readonly [instance: InstanceName, appliedOffset: LogOffset]>
  readonly draining: boolean
  /** False while the router's view of the log is outdated: it makes no proposals, so another router must. */
  readonly canPropose?: boolean
}
