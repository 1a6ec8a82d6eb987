import type { AttemptId, CallerName, DataCentre, Incarnation, InstanceName, LogOffset, ModelId, RequestKey, ServiceName } from '@figmount/base'
import type { RawRecord } from '@figmount/records'
import type { FinishReason, RefusalReason, RunState, WaitState } from '@figmount/schema'

/** Every message between figmount's processes travels in this envelope. */
export interface Envelope<Body> {
  /** The sender's next log offset: whoever is behind asks for records. */
  readonly offset: LogOffset
  /** The sender's Lamport clock, for the time line. */
  readonly clock: number
  readonly body: Body
}

/** A request as a router hands it to an agent. */
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
  /** Higher goes first. */
  readonly priority: number
  /** Share of the caller, for fairness. */
  readonly share: number
  /** Remaining time at sending; the receiver counts on its own monotonic clock. */
  readonly remainingMs: number
  /** Hash of what is asked, without the key, to tell a request that crashes engines. */
  readonly fingerprint: string
  /** True when earlier deaths make the request a suspect: it runs alone. */
  readonly suspect: boolean
  /** Tokens that the caller has already, from an attempt elsewhere. */
  readonly doneTokens: readonly string[]
  /** A plain HTTP call to pass on as it is, for plain services. */
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

/** Why a request was refused, as in the callers' schema. */
export interface RefusalNote {
  readonly runState: RunState
  readonly reason: RefusalReason
  readonly retryAfterMs: number
  readonly detail: string
  readonly step: string
  readonly peer: string
}

/** The right holder's word that one run may start, named by the run it belongs to. */
export interface Permit {
  readonly caller: CallerName
  readonly requestKey: RequestKey
  readonly attemptId: AttemptId
  readonly executor: InstanceName
  /** The run of the executor that the permit is for; empty when the asker did not know it. */
  readonly executorIncarnation: Incarnation
  readonly keysHolder: InstanceName
  readonly keysFence: LogOffset
}

/** What a router says to an agent. */
export type ToAgent =
  | { readonly type: 'hello', readonly instance: InstanceName, readonly incarnation: Incarnation, readonly role: 'router' | 'agent' }
  | { readonly type: 'heartbeat', readonly sentAtMs: number }
  | { readonly type: 'start', readonly attemptId: AttemptId, readonly request: RunRequest, readonly permit?: Permit }
  /** Asks for an attempt's frames from a number on, after a broken connection or to join a running attempt. */
  | { readonly type: 'resume', readonly attemptId: AttemptId, readonly fromFrame: number }
  /** Frames below `belowFrame` have reached the caller. */
  | { readonly type: 'ack', readonly attemptId: AttemptId, readonly belowFrame: number }
  | { readonly type: 'cancel', readonly attemptId: AttemptId }
  /** Asks the holder of the `keys` right whether a request may start on `executor`. */
  | { readonly type: 'permit.ask', readonly askId: number, readonly attemptId: AttemptId, readonly executor: InstanceName, readonly executorIncarnation: Incarnation, readonly request: Omit<RunRequest, 'prompt' | 'doneTokens' | 'plain'> }
  /** The executor of a permitted attempt has refused it as not run: its key may be given to another attempt. */
  | { readonly type: 'permit.withdraw', readonly target: ModelId, readonly caller: CallerName, readonly requestKey: RequestKey, readonly attemptId: AttemptId }
  | { readonly type: 'records', readonly records: readonly RawRecord[] }
  | { readonly type: 'records.ask', readonly fromOffset: LogOffset }
  /** Fast path of a suspicion; the log carries it too. */
  | { readonly type: 'suspect', readonly fingerprints: readonly string[], readonly deathId: string, readonly instance: InstanceName }

/** What an agent says to a router. */
export type FromAgent =
  | { readonly type: 'welcome', readonly instance: InstanceName, readonly incarnation: Incarnation, readonly dataCentre: DataCentre, readonly report: AgentReport }
  /** Without a report if nothing has changed since the last one on this link. */
  | { readonly type: 'heartbeat.ack', readonly sentAtMs: number, readonly report?: AgentReport }
  /** The request waits, loads or runs; sent on every change and once a second while it waits. */
  | { readonly type: 'progress', readonly attemptId: AttemptId, readonly state: WaitState, readonly estimatedWaitMs: number }
  | { readonly type: 'tokens', readonly attemptId: AttemptId, readonly frame: number, readonly firstTokenIndex: number, readonly tokens: readonly string[] }
  | { readonly type: 'final', readonly attemptId: AttemptId, readonly frame: number, readonly tokenCount: number, readonly finishReason: FinishReason, readonly version: string, readonly plain?: PlainAnswer }
  | { readonly type: 'refused', readonly attemptId: AttemptId, readonly refusal: RefusalNote }
  /** The agent never saw this attempt, or no longer keeps it. */
  | { readonly type: 'unknown', readonly attemptId: AttemptId, readonly incarnation: Incarnation }
  | { readonly type: 'permit.reply', readonly askId: number, readonly reply: PermitReply }
  | { readonly type: 'records', readonly records: readonly RawRecord[] }
  | { readonly type: 'records.ask', readonly fromOffset: LogOffset }
  | { readonly type: 'suspect', readonly fingerprints: readonly string[], readonly deathId: string, readonly instance: InstanceName }
  /** No new work from now on; running work finishes. */
  | { readonly type: 'leaving', readonly instance: InstanceName }

export type PermitReply =
  | { readonly kind: 'granted', readonly permit: Permit }
  /** The key runs or ran elsewhere: join that attempt. */
  | { readonly kind: 'known', readonly attemptId: AttemptId, readonly executor: InstanceName }
  | { readonly kind: 'refused', readonly refusal: RefusalNote }

/** An agent's load, sent with every heartbeat answer. Everything a choice of backend server needs. */
export interface AgentReport {
  /** Counts up with each report, so that an older one is not taken for newer. */
  readonly sequence: number
  readonly draining: boolean
  readonly runningCount: number
  readonly queuedCount: number
  readonly batchSize: number
  /** Work that is queued and running, in seconds at the present speed. */
  readonly queuedSeconds: number
  /** Smoothed time between tokens of one stream. */
  readonly tokenIntervalMs: number
  readonly memoryCapacityMb: number
  readonly memoryUsedMb: number
  readonly models: readonly ModelReport[]
  /** True when `models` holds only those that changed since the last report on this link. */
  readonly partial?: boolean
  /** With `partial`: models of earlier reports that are no longer held. */
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
  /** Expected time until the model is ready, 0 when it is. */
  readonly readyInMs: number
}

/** What routers say to each other. */
export type BetweenRouters =
  | { readonly type: 'hello', readonly instance: InstanceName, readonly incarnation: Incarnation, readonly role: 'router' }
  | { readonly type: 'heartbeat', readonly sentAtMs: number, readonly digest: RouterDigest }
  | { readonly type: 'heartbeat.ack', readonly sentAtMs: number, readonly digest: RouterDigest }
  | { readonly type: 'records', readonly records: readonly RawRecord[] }
  | { readonly type: 'records.ask', readonly fromOffset: LogOffset }
  | { readonly type: 'suspect', readonly fingerprints: readonly string[], readonly deathId: string, readonly instance: InstanceName }
  | { readonly type: 'leaving', readonly instance: InstanceName }

/** Which offsets are in force at a router and at the agents it hears. */
export interface RouterDigest {
  readonly instance: InstanceName
  readonly appliedOffset: LogOffset
  readonly agents: ReadonlyArray<readonly [instance: InstanceName, appliedOffset: LogOffset]>
  readonly draining: boolean
  /** False while the router's view of the log is not fresh: it proposes nothing, so others must. */
  readonly canPropose?: boolean
}
