import type { DataCentre, InstanceName } from '@figmount/base'

/** An entry of the platform's instance list. */
export interface ListedInstance {
  readonly name: InstanceName
  readonly role: 'router' | 'agent'
  readonly dataCentre: DataCentre
  readonly peerAddress: string
  readonly backendAddress: string
  readonly leaving: boolean
}

/** The platform's instance list as last read. It lags behind the actual state. */
export interface InstanceList {
  readonly instances: ReadonlyMap<InstanceName, ListedInstance>
  /** Monotonic times of the read; -Infinity before the first. */
  readonly sentAtMs: number
  readonly answeredAtMs: number
}
