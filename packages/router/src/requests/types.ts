import type { AttemptId, EventLog, InstanceName, Metrics, ModelId, ReadBarrier, TimerService } from '@figmount/base'
import type { ChooseBackend, ChooseRetryAfter, RoutingCandidate } from '@figmount/decisions'
import type { RefusalNote, RunRequest } from '@figmount/peers'
import type { RecordsClient } from '@figmount/records'
import type { AgentLinks } from '../links/createAgentLinks.js'
import type { Estimates } from '../routing/createEstimates.js'
import type { RoutingSources } from '../routing/types.js'
import type { SendLog } from '../routing/createSendLog.js'
import type { PrefixMap } from '../routing/createPrefixMap.js'
import type { CallerShares } from '../retries/createCallerShares.js'
import type { RefusalLog } from '../retries/createRefusalLog.js'
import type { RetryBudgets } from '../retries/createRetryBudgets.js'
import type { Suspects } from '../suspects/types.js'

/** A validated request of an authenticated caller to a configured target. Times are monotonic. */
export interface AdmittedRequest {
  readonly run: Omit<RunRequest, 'remainingMs' | 'doneTokens' | 'suspect'>
  readonly receivedAtMs: number
  readonly deadlineAtMs: number
}

/** Dependencies and state of the router that are needed to serve requests. */
export interface ServeContext {
  readonly instance: InstanceName
  readonly records: RecordsClient
  readonly links: AgentLinks
  /** Input for building the candidates for a request to `model` with a prompt prefix. */
  readonly sourcesFor: (model: ModelId, prefixHint: string) => RoutingSources
  readonly sends: SendLog
  readonly prefixes: PrefixMap
  readonly estimates: Estimates
  readonly suspects: Suspects
  readonly refusals: RefusalLog
  readonly budgets: RetryBudgets
  readonly shares: CallerShares
  readonly chooseBackend: ChooseBackend
  readonly chooseRetryAfter: ChooseRetryAfter
  readonly newAttemptId: () => AttemptId
  readonly random: () => number
  readonly timers: TimerService
  /** Passed before an agent is chosen for an attempt of a repeatable request. */
  readonly reads: ReadBarrier
  readonly events: EventLog
  readonly metrics: Metrics
}

/** Result of the choice of a backend server. */
export type Placement =
  | { readonly kind: 'start', readonly candidate: RoutingCandidate }
  | { readonly kind: 'refuse', readonly note: RefusalNote }

/** How one attempt ended. */
export type AttemptOutcome =
  | { readonly kind: 'answered' }
  | { readonly kind: 'callerLeft' }
  | { readonly kind: 'refused', readonly note: RefusalNote }
  /** The agent cannot be reached, or (`isKnownLost`) the attempt is definitely lost, for example unknown to its agent. */
  | { readonly kind: 'lost', readonly agent: InstanceName, readonly detail: string, readonly isKnownLost: boolean }
  /** The start message was not sent. */
  | { readonly kind: 'unsent', readonly agent: InstanceName, readonly detail: string }
  | { readonly kind: 'deadline', readonly agent: InstanceName }

/** State of a request across all its attempts. */
export interface ServeProgress {
  readonly tokens: readonly string[]
  /** Agents that lost or refused the request. */
  readonly excluded: ReadonlySet<InstanceName>
  readonly attemptCount: number
  readonly lossCount: number
  /** True once an attempt was sent whose agent has not confirmed that nothing ran. */
  readonly mayHaveRun: boolean
}
