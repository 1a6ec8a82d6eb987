import type { DataCentre, InstanceName } from '@figmount/base'
import type { AgreedState, RightState } from '@figmount/records'
import type { InstanceList } from '../membership/types.js'
import type { AgentView } from '../links/types.js'

/** Input for building the candidates for a request. */
export interface RoutingSources {
  readonly agents: AgreedState['agents']
  readonly list: InstanceList
  readonly viewOf: (instance: InstanceName) => AgentView | undefined
  /** Estimated work, in seconds, that this router sent to an agent and that its report does not cover yet. */
  readonly unreportedSeconds: (instance: InstanceName, reportAtMs: number) => number
  readonly hasPrefix: (instance: InstanceName) => boolean
  readonly ownDataCentre: DataCentre
  readonly nowMs: number
}

/** Model replicas to choose from, and the request's requirements. */
export interface CandidateQuery {
  readonly replicas: readonly RightState[]
  readonly adapter: string
  readonly coldStartMs: number
  /** Agents that must not receive this request again. */
  readonly excluded: ReadonlySet<InstanceName>
}
