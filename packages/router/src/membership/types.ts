import type { DataCentre, InstanceName } from '@figmount/base'

/** An instance as the platform's list has it. */
export interface ListedInstance {
  readonly name: InstanceName
  readonly role: 'router' | 'agent'
  readonly dataCentre: DataCentre
  readonly peerAddress: string
  readonly backendAddress: string
  readonly leaving: boolean
}

/** The platform's instance list as last read. It lags behind the truth. */
export interface InstanceList {
  readonly instances: ReadonlyMap<InstanceName, ListedInstance>
  /** Monotonic times of the read; -Infinity before the first. */
  readonly sentAtMs: number
  readonly answeredAtMs: number
}
