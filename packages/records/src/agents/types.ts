import type { DataCentre, Incarnation, InstanceName, LogOffset, ServiceName } from '@figmount/base'

/** What an agent has said of itself in the log. */
export interface AgentFacts {
  readonly instance: InstanceName
  readonly incarnation: Incarnation
  readonly dataCentre: DataCentre
  readonly services: readonly ServiceName[]
  readonly backendKind: 'engine' | 'plain'
  readonly memoryCapacityMb: number
  readonly enforcesFence: boolean
  /** Offset of the record that said so. */
  readonly offset: LogOffset
  /** Set by an operator; the instance gets no new work. */
  readonly draining: boolean
  /** Set by a void; the instance is gone until it comes up again. */
  readonly gone: boolean
}
