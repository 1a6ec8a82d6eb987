import type { DataCentre, Incarnation, InstanceName, LogOffset, ServiceName } from '@figmount/base'

/** The state of an agent: its last announcement in the log, and the drain or void applied to it. */
export interface AgentFacts {
  readonly instance: InstanceName
  readonly incarnation: Incarnation
  readonly dataCentre: DataCentre
  readonly services: readonly ServiceName[]
  readonly backendKind: 'engine' | 'plain'
  readonly memoryCapacityMb: number
  readonly enforcesFence: boolean
  /** Offset of the announcement. */
  readonly offset: LogOffset
  /** Set by an operator; the instance gets no new work. */
  readonly draining: boolean
  /** Set by a void; cleared when the agent comes up again. */
  readonly gone: boolean
}
