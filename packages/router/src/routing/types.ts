import type { DataCentre, InstanceName } from '@figmount/base'
import type { AgreedState, RightState } from '@figmount/records'
import type { InstanceList } from '../membership/types.js'
import type { AgentView } from '../links/types.js'

/** Everything that candidates for a request are built from. */
export interface RoutingSources {
  readonly agents: AgreedState['agents']
  readonly list: InstanceList
  readonly viewOf: (instance: InstanceName) => AgentView | undefined
  readonly unreportedSeconds: (instance: InstanceName, reportAtMs: number) => number
  readonly hasPrefix: (instance: InstanceName) => boolean
  readonly ownDataCentre: DataCentre
  readonly nowMs: number
}

/** What is wanted of a candidate. */
export interface Wanted {
  readonly replicas: readonly RightState[]
  readonly adapter: string
  readonly coldStartMs: number
  /** Agents that this request must not go to again. */
  readonly excluded: ReadonlySet<InstanceName>
}
