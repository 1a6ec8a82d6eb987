import type { EventLog, Incarnation, InstanceName, Metrics, TimerService } from '@figmount/base'
import type { AccountServed, Admit, ChooseLoadBackoff, ChooseVictims, EstimateAhead, KeepAlive, LimitLong, ChooseRetryAfter, OrderLoads, PickNext, ShedWaiting } from '@figmount/decisions'
import type { RecordsClient } from '@figmount/records'
import type { AgentSettings } from '../settings/agentSettings.js'

/** The load decisions of the agent, injected so that tests can replace each of them. */
export interface AgentDecisions {
  readonly admit: Admit
  readonly pickNext: PickNext
  readonly accountServed: AccountServed
  readonly estimateAhead: EstimateAhead
  readonly limitLong: LimitLong
  readonly shedWaiting: ShedWaiting
  /** Chooses the retry-after of requests that are shed while they wait. */
  readonly chooseRetryAfter: ChooseRetryAfter
  readonly keepAlive: KeepAlive
  readonly chooseVictims: ChooseVictims
  readonly orderLoads: OrderLoads
  readonly backOffLoad: ChooseLoadBackoff
  /** Yields numbers in [0, 1). */
  readonly random: () => number
}

/** Dependencies that all parts of the agent share. */
export interface AgentContext {
  readonly settings: AgentSettings
  readonly events: EventLog
  readonly timers: TimerService
  readonly metrics: Metrics
  readonly records: RecordsClient
  readonly decisions: AgentDecisions
  readonly instance: InstanceName
  readonly incarnation: Incarnation
}
